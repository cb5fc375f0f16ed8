#pragma once

#include "Decisions/LoadReport.h"
#include "Decisions/RandomEngine.h"
#include "Decisions/StageAttemptOutcome.h"
#include "Kernel/Clock.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace Guavalock
{

class EventQueue;
struct ScenarioOutcome;

/// A simulated target with its call durations, cold limit and faults.
class ScenarioTarget
{
public:
    struct Parameters {
        std::string name;
        std::string pool;
        std::string dataCentre;
        std::size_t slots = 8;
        std::size_t coldSlots = 1;
        std::size_t coldCalls = 0;
        Clock::Duration callTime{};
    };

    /// Result of a call, with the target's load report if it responded.
    struct Reply {
        StageAttemptOutcome end = StageAttemptOutcome::Lost;
        std::optional<LoadReport> load;
        Clock::Duration targetTime{}; ///< Target time spent on the call.
        std::uint64_t coldEpoch = 0; ///< Cold epoch in which the report was made.
    };
    using ReplyHandler = std::function<void(Reply)>;

    ScenarioTarget(Parameters parameters, EventQueue &events, RandomEngine &random, ScenarioOutcome &outcome);

    /// Handles an incoming call. knownEpoch is the cold epoch that the sender knew when it sent the call.
    void call(bool poison, std::uint64_t knownEpoch, ReplyHandler onReply);

    std::optional<LoadReport> probe() const;

    /// Crashes, losing all calls in progress, and restarts cold after the given time.
    void crash(Clock::Duration down);
    void becomeCold();
    void slowDown(double factor, Clock::Duration duration);
    void loseReplies(Clock::Duration duration);
    void failCalls(Clock::Duration duration);

    const Parameters &parameters() const;
    bool up() const;
    std::size_t running() const;

    /// Returns a counter that is incremented whenever the target becomes cold.
    std::uint64_t coldEpoch() const;

private:
    struct Call {
        Clock::TimePoint start{};
        ReplyHandler onReply;
    };

    LoadReport report() const;
    Clock::Duration callDuration();
    void recordColdOverload(bool senderKnewCold);
    void finish(std::uint64_t id);

    Parameters m_parameters;
    EventQueue &m_events;
    RandomEngine &m_random;
    ScenarioOutcome &m_outcome;
    std::map<std::uint64_t, Call> m_calls;
    std::uint64_t m_lastCall = 0;
    std::uint64_t m_incarnation = 1;
    std::uint64_t m_coldEpoch = 1;
    std::size_t m_coldCallsLeft = 0;
    bool m_up = true;
    double m_slowFactor = 1;
    Clock::TimePoint m_slowUntil{};
    Clock::TimePoint m_loseUntil{};
    Clock::TimePoint m_failUntil{};
};

} // namespace Guavalock
