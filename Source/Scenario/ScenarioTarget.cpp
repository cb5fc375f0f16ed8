#include "Scenario/ScenarioTarget.h"

#include "Scenario/EventQueue.h"
#include "Scenario/ScenarioOutcome.h"

#include <algorithm>

namespace Guavalock
{

namespace
{

constexpr std::chrono::milliseconds crashDelay{5}; ///< Time from the start of a poison call to the target's crash.

double seconds(Clock::Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

ScenarioTarget::ScenarioTarget(Parameters parameters, EventQueue &events, RandomEngine &random, ScenarioOutcome &outcome)
    : m_parameters(std::move(parameters))
    , m_events(events)
    , m_random(random)
    , m_outcome(outcome)
    , m_coldCallsLeft(m_parameters.coldCalls)
{
}

const ScenarioTarget::Parameters &ScenarioTarget::parameters() const
{
    return m_parameters;
}

bool ScenarioTarget::up() const
{
    return m_up;
}

std::size_t ScenarioTarget::running() const
{
    return m_calls.size();
}

std::uint64_t ScenarioTarget::coldEpoch() const
{
    return m_coldEpoch;
}

LoadReport ScenarioTarget::report() const
{
    const std::size_t running = std::min(m_calls.size(), m_parameters.slots);
    return {std::to_string(m_incarnation), m_coldCallsLeft == 0, running, m_calls.size() - running};
}

std::optional<LoadReport> ScenarioTarget::probe() const
{
    return m_up ? std::optional<LoadReport>(report()) : std::nullopt;
}

Clock::Duration ScenarioTarget::callDuration()
{
    // A call in a full batch takes twice as long as a single call; calls beyond the slots queue, which slows all calls further.
    const double load = static_cast<double>(m_calls.size()) / static_cast<double>(m_parameters.slots);
    const double jitter = std::uniform_real_distribution<double>(0.8, 1.2)(m_random);
    const double slow = m_events.now() < m_slowUntil ? m_slowFactor : 1.0;
    const double cold = m_coldCallsLeft > 0 ? 2.0 : 1.0;
    const double factor = (1.0 + load) * jitter * slow * cold;
    return std::chrono::duration_cast<Clock::Duration>(m_parameters.callTime * factor);
}

void ScenarioTarget::recordColdOverload(bool senderKnewCold)
{
    if (m_coldCallsLeft == 0 || m_calls.size() <= m_parameters.coldSlots) {
        return;
    }
    (senderKnewCold ? m_outcome.coldExceeded : m_outcome.windowCalls) += 1;
}

void ScenarioTarget::call(bool poison, std::uint64_t knownEpoch, ReplyHandler onReply)
{
    if (!m_up) {
        onReply({StageAttemptOutcome::NotSent, std::nullopt, {}});
        return;
    }
    m_outcome.calls += 1;
    const std::uint64_t id = ++m_lastCall;
    m_calls[id] = {m_events.now(), std::move(onReply)};
    recordColdOverload(knownEpoch == m_coldEpoch);
    if (poison) {
        m_events.scheduleAfter(crashDelay, [this, incarnation = m_incarnation] {
            if (m_up && incarnation == m_incarnation) {
                m_outcome.deaths += 1;
                crash(std::chrono::seconds(1));
            }
        });
        return;
    }
    m_events.scheduleAfter(callDuration(), [this, id] { finish(id); });
}

void ScenarioTarget::finish(std::uint64_t id)
{
    const auto it = m_calls.find(id);
    if (it == m_calls.end()) {
        return;
    }
    const Call call = std::move(it->second);
    m_calls.erase(it);
    m_coldCallsLeft -= m_coldCallsLeft > 0 ? 1 : 0;
    Reply reply{StageAttemptOutcome::Answered, report(), m_events.now() - call.start, m_coldEpoch};
    m_outcome.busySeconds += seconds(reply.targetTime);
    if (m_events.now() < m_loseUntil) {
        reply = {StageAttemptOutcome::Lost, std::nullopt, reply.targetTime};
    } else if (m_events.now() < m_failUntil) {
        reply.end = StageAttemptOutcome::Failed;
    }
    call.onReply(reply);
}

void ScenarioTarget::crash(Clock::Duration down)
{
    if (!m_up) {
        return;
    }
    m_up = false;
    const std::map<std::uint64_t, Call> lost = std::move(m_calls);
    m_calls.clear();
    m_events.scheduleAfter(down, [this] {
        m_up = true;
        ++m_incarnation;
        ++m_coldEpoch;
        m_coldCallsLeft = m_parameters.coldCalls;
    });
    for (const auto &[id, call] : lost) {
        const Clock::Duration targetTime = m_events.now() - call.start;
        m_outcome.busySeconds += seconds(targetTime);
        call.onReply({StageAttemptOutcome::Lost, std::nullopt, targetTime});
    }
}

void ScenarioTarget::becomeCold()
{
    m_coldCallsLeft = std::max<std::size_t>(1, m_parameters.coldCalls);
    ++m_coldEpoch;
    m_outcome.excessAtTurn += static_cast<double>(m_calls.size() - std::min(m_calls.size(), m_parameters.coldSlots));
}

void ScenarioTarget::slowDown(double factor, Clock::Duration duration)
{
    m_slowFactor = factor;
    m_slowUntil = m_events.now() + duration;
}

void ScenarioTarget::loseReplies(Clock::Duration duration)
{
    m_loseUntil = m_events.now() + duration;
}

void ScenarioTarget::failCalls(Clock::Duration duration)
{
    m_failUntil = m_events.now() + duration;
}

} // namespace Guavalock
