#include "Relay/ContentGuard.h"

#include "Decisions/ContentHash.h"
#include "Decisions/Hash.h"
#include "Fleet/QuarantineTable.h"
#include "Fleet/SelectedTarget.h"
#include "Kernel/Log.h"
#include "Relay/AttemptOutcome.h"
#include "Relay/CrashDetector.h"
#include "Relay/OpaqueRequest.h"
#include "Relay/RelayContext.h"

#include <algorithm>
#include <iterator>

namespace Guavalock
{

namespace
{

using Milliseconds = std::chrono::milliseconds;

/// A target that crashes within this time after the first event has crashed when its response began.
constexpr Milliseconds responseBeginTime{300};

std::optional<Milliseconds> toMilliseconds(std::optional<Clock::Duration> time)
{
    return time ? std::optional(std::chrono::ceil<Milliseconds>(*time)) : std::nullopt;
}

} // namespace

ContentGuard::ContentGuard(const RelayContext &context, const OpaqueRequest &request, const std::string &organisation)
    : m_context(context)
    , m_request(request)
{
    std::ranges::transform(request.sharedPromptParts, std::back_inserter(m_contents), &ContentHash::ofPart);
    const std::uint64_t seed = Hash::of(organisation, Hash::of(request.requestTarget, Hash::of(request.method)));
    m_contents.push_back(ContentHash::ofRequest(Hash::of(request.body, seed)));
}

std::optional<Milliseconds> ContentGuard::refuseNew()
{
    return toMilliseconds(m_context.quarantines.refuseNew(m_contents, m_context.clock.now()));
}

std::optional<Milliseconds> ContentGuard::refuseSend() const
{
    return toMilliseconds(m_context.quarantines.refuseSend(m_contents, m_context.clock.now()));
}

bool ContentGuard::refusesRepeats() const
{
    return m_context.quarantines.refusesRepeats(m_contents);
}

void ContentGuard::recordAttempt(const SelectedTarget &target, const AttemptOutcome &outcome, Clock::TimePoint start,
                                 std::optional<Clock::TimePoint> firstEventTime) const
{
    using Result = AttemptOutcome::Result;
    const Clock::TimePoint now = m_context.clock.now();
    const bool isComplete = outcome.result == Result::Responded || outcome.result == Result::Streamed;
    if (isComplete && outcome.head.isSuccess()) {
        m_context.quarantines.recordResponse(m_contents, now);
    }
    if (outcome.result != Result::NoResponse && outcome.result != Result::StreamInterrupted) {
        return;
    }
    logLoss(target.id, start, firstEventTime.has_value());
    const bool hasBegun = firstEventTime && now - *firstEventTime > responseBeginTime;
    if (!hasBegun) {
        m_context.crashes.reportLoss(target.address, target.startTime, m_contents);
    }
}

void ContentGuard::logLoss(const std::string &target, Clock::TimePoint start, bool hasBegun) const
{
    std::string contents;
    for (const std::uint64_t it : m_contents) {
        contents += (contents.empty() ? "" : ",") + Hash::hex(it);
    }
    const auto elapsed = std::chrono::duration_cast<Milliseconds>(m_context.clock.now() - start);
    Log::info("relay", "response-lost",
              {{"id", m_request.id},
               {"target", target},
               {"sent_before_ms", std::to_string(elapsed.count())},
               {"begun", hasBegun ? "yes" : "no"},
               {"contents", std::move(contents)}});
}

} // namespace Guavalock
