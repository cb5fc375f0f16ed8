#pragma once

#include <cstdint>
#include <span>
#include <string_view>

namespace Guavalock
{

/// Numeric result codes. The hundreds digit is the family. docs/RESULT-CODES.md documents each code; a test compares the two.
enum class ResultCode : std::uint16_t {
    Ok = 0,

    MalformedRequest = 101,
    HeaderTooLarge = 102,
    BodyTooLarge = 103,
    RequestTooSlow = 104,
    UnknownPipeline = 105,
    BadDeadline = 106,
    BadClass = 107,
    UnknownOrganisation = 108,
    MethodNotAllowed = 109,
    CallerClosed = 110,
    BadIdempotencyKey = 111,
    UnknownPath = 112,
    NotAuthorised = 113,

    Draining = 201,
    Overloaded = 202,
    DeadlineUnreachable = 203,
    NoTarget = 204,
    DataCentreOut = 205,
    OrganisationLimit = 206,
    KeyInUse = 207,
    NotConfigured = 208,
    KeyNotClaimed = 209,
    ContentQuarantined = 210,

    StageFailed = 301,
    DeadlineExceeded = 302,
    AnswerInvalid = 303,
    StageUnavailable = 304,
    Cancelled = 305,
    Stopped = 306,
    Quarantined = 307,

    OutcomeUnknown = 401,
    KeyOutcomeUnknown = 402,

    SettingsInvalid = 501,
    VersionConflict = 502,
    UnknownPlugin = 503,
    PathInvalid = 504,

    PlatformUnreachable = 601,
    PlatformRejected = 602,
    AppendUnsettled = 603,
    LogTruncated = 604,

    PeerUnreachable = 701,
    PeerProtocol = 702,
    PeerAuthentication = 703,
};

/// One entry of the result code table.
struct ResultCodeInfo {
    ResultCode code;
    std::string_view name;
    unsigned httpStatus;
    std::string_view meaning;
};

/// Returns all codes in ascending order.
std::span<const ResultCodeInfo> resultCodes();

/// Returns the entry of a code. Every enumerator has an entry.
const ResultCodeInfo &resultCodeInfo(ResultCode code);

constexpr unsigned resultNumber(ResultCode code)
{
    return static_cast<unsigned>(code);
}

} // namespace Guavalock
