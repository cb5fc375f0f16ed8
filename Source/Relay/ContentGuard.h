#pragma once

#include "Kernel/Clock.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Guavalock
{

struct AttemptOutcome;
struct OpaqueRequest;
struct RelayContext;
struct SelectedTarget;

/// Keeps content that crashes targets away from them, and records what the attempts of one request show about its content.
///
/// The content is the shared parts of the prompt and the whole request, which outlives the guard.
class ContentGuard
{
public:
    ContentGuard(const RelayContext &context, const OpaqueRequest &request, const std::string &organisation);

    /// Returns how long new requests with the content are refused, or nothing if the request can be accepted.
    std::optional<std::chrono::milliseconds> refuseNew();

    /// Returns how long the content remains in quarantine, or nothing if the accepted request can be sent.
    std::optional<std::chrono::milliseconds> refuseSend() const;

    /// Returns whether the request must not be repeated if it may have run.
    bool refusesRepeats() const;

    /// Records an attempt that began at `start`, and received the first event of a stream at `firstEventTime`, if any.
    void recordAttempt(const SelectedTarget &target, const AttemptOutcome &outcome, Clock::TimePoint start,
                       std::optional<Clock::TimePoint> firstEventTime) const;

private:
    void logLoss(const std::string &target, Clock::TimePoint start, bool hasBegun) const;

    const RelayContext &m_context;
    const OpaqueRequest &m_request;
    std::vector<std::uint64_t> m_contents; ///< See ContentHash.
};

} // namespace Guavalock
