#include "FrontEnds/CallerRequest.h"

#include "Decisions/Hash.h"
#include "Flow/JsonText.h"
#include "FrontEnds/HttpExchange.h"

#include <boost/json/value.hpp>

#include <algorithm>
#include <array>
#include <charconv>

namespace Guavalock
{

namespace
{

constexpr std::size_t maxKeyLength = 128;
constexpr std::int64_t latestIssue = 7'258'118'400'000; ///< Milliseconds since 1970 at the year 2200.
constexpr std::string_view pathStart = "/v1/";

/// Reads one part of the request. Returns false with the refusal's code and reason set.
using Reader = bool (*)(const HttpExchange &exchange, std::chrono::milliseconds deadlineMax, PipelineRequest &request, Reason &reason);

std::optional<std::int64_t> wholeNumber(std::string_view text)
{
    std::int64_t value = 0;
    const auto [rest, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (text.empty() || error != std::errc() || rest != text.data() + text.size()) {
        return std::nullopt;
    }
    return value;
}

bool readPath(const HttpExchange &exchange, std::chrono::milliseconds, PipelineRequest &request, Reason &reason)
{
    const std::string_view path = exchange.path();
    const std::string_view rest = path.starts_with(pathStart) ? path.substr(pathStart.size()) : std::string_view();
    const std::size_t slash = rest.find('/');
    if (slash == std::string_view::npos || slash == 0 || slash + 1 == rest.size() || rest.find('/', slash + 1) != std::string_view::npos) {
        reason = {ResultCode::UnknownPath, "requests go to /v1/TEAM/PIPELINE"};
        return false;
    }
    request.team = rest.substr(0, slash);
    request.pipeline = rest.substr(slash + 1);
    if (exchange.method() != "POST") {
        reason = {ResultCode::MethodNotAllowed, "send the request with POST"};
        return false;
    }
    return true;
}

bool readOrganisation(const HttpExchange &exchange, std::chrono::milliseconds, PipelineRequest &request, Reason &reason)
{
    request.organisation = exchange.header(CallerRequest::organisationHeader);
    if (request.organisation.empty()) {
        reason = {ResultCode::UnknownOrganisation, "name your organisation in the header X-Organisation"};
        return false;
    }
    return true;
}

bool readClass(const HttpExchange &exchange, std::chrono::milliseconds, PipelineRequest &request, Reason &reason)
{
    const std::string_view name = exchange.header(CallerRequest::classHeader);
    if (!name.empty() && name != "interactive" && name != "batch") {
        reason = {ResultCode::BadClass, "X-Class is 'interactive' or 'batch'"};
        return false;
    }
    request.urgent = name != "batch";
    return true;
}

bool readDeadline(const HttpExchange &exchange, std::chrono::milliseconds deadlineMax, PipelineRequest &request, Reason &reason)
{
    const std::string_view text = exchange.header(CallerRequest::deadlineHeader);
    if (text.empty()) {
        return true;
    }
    const std::optional<std::int64_t> value = wholeNumber(text);
    if (!value || *value < 1 || *value > deadlineMax.count()) {
        reason
            = {ResultCode::BadDeadline, "X-Deadline-Ms is a whole number of milliseconds from 1 to " + std::to_string(deadlineMax.count())};
        return false;
    }
    request.deadline = std::chrono::milliseconds(*value);
    return true;
}

bool readKey(const HttpExchange &exchange, std::chrono::milliseconds, PipelineRequest &request, Reason &reason)
{
    const std::string_view key = exchange.header(CallerRequest::keyHeader);
    if (key.empty()) {
        return true;
    }
    const bool printable = std::ranges::all_of(key, [](char it) { return it > ' ' && it < 127; });
    if (key.size() > maxKeyLength || !printable) {
        reason = {ResultCode::BadIdempotencyKey, "Idempotency-Key holds 1 to 128 printable characters without blanks"};
        return false;
    }
    const std::optional<std::int64_t> issued = wholeNumber(exchange.header(CallerRequest::issuedHeader));
    if (!issued || *issued < 0 || *issued > latestIssue) {
        reason = {ResultCode::BadIdempotencyKey, "Idempotency-Issued gives the key's time of issue in milliseconds since 1970"};
        return false;
    }
    request.idempotencyKey = key;
    request.keyIssued = Clock::WallTime(std::chrono::milliseconds(*issued));
    return true;
}

bool readBody(const HttpExchange &exchange, std::chrono::milliseconds, PipelineRequest &request, Reason &reason)
{
    std::optional<boost::json::object> body = JsonText::object(exchange.body(), ResultCode::MalformedRequest, reason);
    if (!body) {
        return false;
    }
    request.body = std::move(*body);
    request.bodyHash = Hash::of(exchange.body());
    return true;
}

constexpr std::array<Reader, 6> readers = {readPath, readOrganisation, readClass, readDeadline, readKey, readBody};

} // namespace

std::optional<PipelineRequest> CallerRequest::read(const HttpExchange &exchange, std::chrono::milliseconds deadlineMax, Refusal &refusal)
{
    PipelineRequest request;
    Reason reason;
    for (const Reader &it : readers) {
        if (!it(exchange, deadlineMax, request, reason)) {
            refusal = {reason.code, RunState::No, reason.text, std::nullopt};
            return std::nullopt;
        }
    }
    return request;
}

} // namespace Guavalock
