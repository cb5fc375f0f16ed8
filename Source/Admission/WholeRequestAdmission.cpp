#include "Admission/WholeRequestAdmission.h"

#include <algorithm>

namespace Guavalock
{

namespace
{

using Stage = WholeRequestAdmission::Stage;
using Milliseconds = std::chrono::milliseconds;

constexpr Milliseconds minRetryAfter{400}; ///< Other targets have taken over for lost ones by then.
/// Requests with less slack count as probably late: in several stages, pieces that just miss a call wait for another one. With 300 ms, one
/// in eight requests that a service at one and a half times its capacity admitted became late.
constexpr Milliseconds headroom{500};
constexpr Milliseconds returnSpread{500}; ///< Clients that were refused return spread over this time.

/// Returns the expected time of a stage from its backlog.
using StageTime = Clock::Duration (BacklogEstimate::*)(Clock::Duration typical) const;

/// Returns the time until the results of a stage exist, after those of the stages that it depends on.
Clock::Duration timeToEnd(const std::vector<Stage> &stages, std::size_t index, StageTime time)
{
    const Stage &stage = stages.at(index);
    if (stage.pieces == 0) {
        return Clock::Duration::zero();
    }
    Clock::Duration longest{0};
    for (const std::size_t it : stage.dependencies) {
        longest = std::max(longest, timeToEnd(stages, it, time));
    }
    return longest + (stage.backlog ? (*stage.backlog.*time)(stage.typicalTime) : stage.typicalTime);
}

Clock::Duration timeToEnd(const std::vector<Stage> &stages, StageTime time)
{
    Clock::Duration longest{0};
    for (std::size_t it = 0; it < stages.size(); ++it) {
        longest = std::max(longest, timeToEnd(stages, it, time));
    }
    return longest;
}

/// Returns whether a stage would wait longer than one of the results that it reads is kept.
bool outlastsInputs(const std::vector<Stage> &stages, const Stage &stage)
{
    return std::ranges::any_of(stage.dependencies, [&](std::size_t it) {
        const Stage &input = stages.at(it);
        return input.pieces > 0 && input.resultLifetime > Clock::Duration::zero() && stage.backlog->lateWait > input.resultLifetime;
    });
}

} // namespace

WholeRequestAdmission::Verdict WholeRequestAdmission::decide(const Request &request, Clock::TimePoint now)
{
    Verdict verdict;
    bool known = false;
    bool overloaded = false;
    bool expires = false;
    for (const Stage &stage : request.stages) {
        if (stage.pieces == 0 || !stage.backlog) {
            continue;
        }
        overloaded = overloaded || stage.backlog->isOverloaded();
        expires = expires || outlastsInputs(request.stages, stage);
        if (!known || stage.backlog->wait > verdict.wait) {
            verdict.service = stage.service;
            verdict.wait = stage.backlog->wait;
        }
        known = true;
    }
    verdict.expected = timeToEnd(request.stages, &BacklogEstimate::expected) + request.answerTime;
    const Clock::TimePoint start = now + verdict.expected;
    if (!known || start + headroom <= request.objective) {
        return verdict;
    }
    const bool late = start > request.objective;
    // The pieces of a request that will be late are passed by those of requests that can be on time.
    const Clock::Duration expectedWhenLate = timeToEnd(request.stages, &BacklogEstimate::expectedWhenLate) + request.answerTime;
    if (late && now + expectedWhenLate > request.firstEventDeadline) {
        verdict.cause = Verdict::Cause::Hopeless;
    } else if (late && expires) {
        verdict.cause = Verdict::Cause::ResultsWouldExpire;
    } else if (overloaded) {
        verdict.cause = Verdict::Cause::LateUnderOverload;
    }
    verdict.expected = late ? expectedWhenLate : verdict.expected;
    return verdict;
}

Milliseconds WholeRequestAdmission::retryAfter(Clock::Duration wait, std::uint64_t idHash, Milliseconds routeTimeout)
{
    const Milliseconds spread(idHash % static_cast<std::uint64_t>(returnSpread.count()));
    return std::min(routeTimeout, std::max(minRetryAfter, std::chrono::ceil<Milliseconds>(wait)) + spread);
}

} // namespace Guavalock
