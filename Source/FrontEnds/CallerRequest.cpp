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
constexpr std::int64_t maxIssueTime = 7'258'118'400'000; ///< Milliseconds since 1970 at the year 2200.
constexpr std::string_view pathPrefix = "/v1/";

/// Parses one part of the request. Returns false after setting the reason for the refusal.
using PartParser = bool (*)(const HttpExchange &exchange, std::chrono::milliseconds deadlineMax, PipelineRequest &request, Reason &reason);

std::optional<std::int64_t> parseInteger(std::string_view text)
{
    std::int64_t value = 0;
    const auto [remainder, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (text.empty() || error != std::errc() || remainder != text.data() + text.size()) {
        return std::nullopt;
    }
    return value;
}

bool parsePath(const HttpExchange &exchange, std::chrono::milliseconds, PipelineRequest &request, Reason &reason)
{
    const std::string_view path = exchange.path();
    const std::string_view remainder = path.starts_with(pathPrefix) ? path.substr(pathPrefix.size()) : std::string_view();
    const std::size_t slash = remainder.find('/');
    if (slash == std::string_view::npos || slash == 0 || slash + 1 == remainder.size()
        || remainder.find('/', slash + 1) != std::string_view::npos) {
        reason = {ResultCode::UnknownPath, "the request path must be /v1/TEAM/PIPELINE"};
        return false;
    }
    request.team = remainder.substr(0, slash);
    request.pipeline = remainder.substr(slash + 1);
    if (exchange.method() != "POST") {
        reason = {ResultCode::MethodNotAllowed, "pipeline requests must use POST"};
        return false;
    }
    return true;
}

bool parseOrganisation(const HttpExchange &exchange, std::chrono::milliseconds, PipelineRequest &request, Reason &reason)
{
    request.organisation = exchange.header(CallerRequest::organisationHeader);
    if (request.organisation.empty()) {
        reason = {ResultCode::UnknownOrganisation, "the X-Organisation header is missing or empty"};
        return false;
    }
    return true;
}

bool parseClass(const HttpExchange &exchange, std::chrono::milliseconds, PipelineRequest &request, Reason &reason)
{
    const std::string_view name = exchange.header(CallerRequest::classHeader);
    if (!name.empty() && name != "interactive" && name != "batch") {
        reason = {ResultCode::BadClass, "X-Class must be 'interactive' or 'batch'"};
        return false;
    }
    request.urgent = name != "batch";
    return true;
}

bool parseDeadline(const HttpExchange &exchange, std::chrono::milliseconds deadlineMax, PipelineRequest &request, Reason &reason)
{
    const std::string_view text = exchange.header(CallerRequest::deadlineHeader);
    if (text.empty()) {
        return true;
    }
    const std::optional<std::int64_t> value = parseInteger(text);
    if (!value || *value < 1 || *value > deadlineMax.count()) {
        reason = {ResultCode::BadDeadline,
                  "X-Deadline-Ms must be an integer number of milliseconds from 1 to " + std::to_string(deadlineMax.count())};
        return false;
    }
    request.deadline = std::chrono::milliseconds(*value);
    return true;
}

bool parseKey(const HttpExchange &exchange, std::chrono::milliseconds, PipelineRequest &request, Reason &reason)
{
    const std::string_view key = exchange.header(CallerRequest::keyHeader);
    if (key.empty()) {
        return true;
    }
    const bool printable = std::ranges::all_of(key, [](char it) { return it > ' ' && it < 127; });
    if (key.size() > maxKeyLength || !printable) {
        reason = {ResultCode::BadIdempotencyKey, "Idempotency-Key must be 1 to 128 printable characters without spaces"};
        return false;
    }
    const std::optional<std::int64_t> issued = parseInteger(exchange.header(CallerRequest::issuedHeader));
    if (!issued || *issued < 0 || *issued > maxIssueTime) {
        reason = {ResultCode::BadIdempotencyKey, "Idempotency-Issued must be the key's time of issue in milliseconds since 1970"};
        return false;
    }
    request.idempotencyKey = key;
    request.keyIssued = Clock::WallTime(std::chrono::milliseconds(*issued));
    return true;
}

bool parseBody(const HttpExchange &exchange, std::chrono::milliseconds, PipelineRequest &request, Reason &reason)
{
    std::optional<boost::json::object> body = JsonText::object(exchange.body(), ResultCode::MalformedRequest, reason);
    if (!body) {
        return false;
    }
    request.body = std::move(*body);
    request.bodyHash = Hash::of(exchange.body());
    return true;
}

constexpr std::array<PartParser, 6> partParsers = {parsePath, parseOrganisation, parseClass, parseDeadline, parseKey, parseBody};

} // namespace

std::optional<PipelineRequest> CallerRequest::parse(const HttpExchange &exchange, std::chrono::milliseconds deadlineMax, Refusal &refusal)
{
    PipelineRequest request;
    Reason reason;
    for (const PartParser &it : partParsers) {
        if (!it(exchange, deadlineMax, request, reason)) {
            refusal = {reason.code, RunState::No, reason.text, std::nullopt};
            return std::nullopt;
        }
    }
    return request;
}

} // namespace Guavalock
