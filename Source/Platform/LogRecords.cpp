#include "Platform/LogRecords.h"

#include "Targets/JsonText.h"

#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

namespace Guavalock
{

namespace
{

constexpr const char *configurationKind = "configuration";
constexpr const char *claimKind = "claim";
constexpr const char *releaseKind = "release";

std::optional<boost::json::object> objectOfKind(const std::string &data, const char *kind)
{
    Reason reason;
    std::optional<boost::json::object> object = JsonText::object(data, ResultCode::PlatformRejected, reason);
    const boost::json::value *found = object ? object->if_contains("kind") : nullptr;
    if (found == nullptr || !found->is_string() || found->get_string() != kind) {
        return std::nullopt;
    }
    return object;
}

std::string text(const boost::json::object &object, const char *name)
{
    const boost::json::value *value = object.if_contains(name);
    return value != nullptr && value->is_string() ? std::string(value->get_string()) : std::string();
}

std::int64_t number(const boost::json::object &object, const char *name)
{
    const boost::json::value *value = object.if_contains(name);
    return value != nullptr && value->is_int64() ? value->get_int64() : 0;
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

std::optional<ConfigurationRecord> LogRecords::configuration(const std::string &id, const std::string &data)
{
    const std::optional<boost::json::object> object = objectOfKind(data, configurationKind);
    if (!object) {
        return std::nullopt;
    }
    ConfigurationRecord record;
    record.id = id;
    record.path = text(*object, "path");
    record.expectedVersion = static_cast<std::uint64_t>(number(*object, "expected"));
    record.author = text(*object, "author");
    if (object->contains("value")) {
        record.value = text(*object, "value");
    }
    return record;
}

std::optional<ClaimLedger::Claim> LogRecords::claim(const std::string &id, const std::string &data)
{
    const std::optional<boost::json::object> object = objectOfKind(data, claimKind);
    if (!object) {
        return std::nullopt;
    }
    const std::chrono::milliseconds issued(number(*object, "issued_ms"));
    return ClaimLedger::Claim{id, text(*object, "key"), text(*object, "claimant"), Clock::WallTime(issued)};
}

std::optional<LogRecords::Release> LogRecords::release(const std::string &data)
{
    const std::optional<boost::json::object> object = objectOfKind(data, releaseKind);
    if (!object) {
        return std::nullopt;
    }
    return Release{text(*object, "key"), text(*object, "claim")};
}

} // namespace Guavalock
