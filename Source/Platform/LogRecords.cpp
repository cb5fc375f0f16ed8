#include "Platform/LogRecords.h"

#include "Flow/JsonText.h"

#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

namespace Guavalock
{

namespace
{

constexpr const char *configurationKind = "configuration";
constexpr const char *claimKind = "claim";
constexpr const char *releaseKind = "release";
/// Unix time of the year 2200 in milliseconds. Later times are clamped, since large values would overflow the clock type.
constexpr std::uint64_t maxIssuedMs = 7'258'118'400'000;

std::optional<boost::json::object> parseObjectOfKind(const std::string &data, const char *kind)
{
    Reason reason;
    std::optional<boost::json::object> object = JsonText::object(data, ResultCode::PlatformRejected, reason);
    const boost::json::value *found = object ? object->if_contains("kind") : nullptr;
    if (found == nullptr || !found->is_string() || found->get_string() != kind) {
        return std::nullopt;
    }
    return object;
}

} // namespace

std::string LogRecords::write(const ConfigurationRecord &record)
{
    boost::json::object object{
        {"kind", configurationKind}, {"path", record.path}, {"expected", record.expectedVersion}, {"author", record.author}};
    if (record.value) {
        object["value"] = *record.value;
    }
    return boost::json::serialize(object);
}

std::string LogRecords::write(const ClaimLedger::Claim &claim)
{
    const auto issued = std::chrono::duration_cast<std::chrono::milliseconds>(claim.issued.time_since_epoch());
    return boost::json::serialize(
        boost::json::object{{"kind", claimKind}, {"key", claim.key}, {"claimant", claim.claimant}, {"issued_ms", issued.count()}});
}

std::string LogRecords::write(const Release &release)
{
    return boost::json::serialize(boost::json::object{{"kind", releaseKind}, {"key", release.key}, {"claim", release.claimId}});
}

std::optional<ConfigurationRecord> LogRecords::parseConfiguration(const std::string &id, const std::string &data)
{
    const std::optional<boost::json::object> object = parseObjectOfKind(data, configurationKind);
    if (!object) {
        return std::nullopt;
    }
    ConfigurationRecord record;
    record.id = id;
    record.path = JsonText::text(*object, "path");
    record.expectedVersion = JsonText::number(*object, "expected");
    record.author = JsonText::text(*object, "author");
    if (object->contains("value")) {
        record.value = std::string(JsonText::text(*object, "value"));
    }
    return record;
}

std::optional<ClaimLedger::Claim> LogRecords::parseClaim(const std::string &id, const std::string &data)
{
    const std::optional<boost::json::object> object = parseObjectOfKind(data, claimKind);
    if (!object) {
        return std::nullopt;
    }
    const std::chrono::milliseconds issued(std::min(JsonText::number(*object, "issued_ms"), maxIssuedMs));
    return ClaimLedger::Claim{id, std::string(JsonText::text(*object, "key")), std::string(JsonText::text(*object, "claimant")),
                              Clock::WallTime(issued)};
}

std::optional<LogRecords::Release> LogRecords::parseRelease(const std::string &data)
{
    const std::optional<boost::json::object> object = parseObjectOfKind(data, releaseKind);
    if (!object) {
        return std::nullopt;
    }
    return Release{std::string(JsonText::text(*object, "key")), std::string(JsonText::text(*object, "claim"))};
}

} // namespace Guavalock
