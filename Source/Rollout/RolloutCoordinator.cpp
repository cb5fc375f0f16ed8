#include "Rollout/RolloutCoordinator.h"

#include <algorithm>
#include <array>
#include <utility>

namespace Guavalock
{

namespace
{

using Phase = RolloutState::Phase;
using State = RolloutStatus::State;

/// Shares of the new version while moving. The first step multiplies the evidence and leaves the other versions able to carry the rest.
constexpr std::array<double, 3> shares{0.25, 0.5, 1.0};

/// Returns a time that is shortened for orders of a short duration.
Clock::Duration shortened(Clock::Duration time, Clock::Duration duration, double part)
{
    return std::min(time, std::chrono::duration_cast<Clock::Duration>(duration * part));
}

} // namespace

RolloutCoordinator::RolloutCoordinator(RolloutOrder order)
    : m_order(std::move(order))
{
}

void RolloutCoordinator::setOrder(const RolloutOrder &order)
{
    m_order = order;
}

void RolloutCoordinator::rollBack(std::string reason, Clock::TimePoint now)
{
    m_phase = Phase::RolledBack;
    m_reason = std::move(reason);
    m_decided = now;
}

bool RolloutCoordinator::mayMove(const Input &input, Clock::TimePoint start, Clock::TimePoint now) const
{
    const Clock::Duration lead = shortened(movingTime, m_order.duration, movingPart);
    return input.verdict.kind == VersionVerdict::Kind::Sound && now >= start + m_order.duration - lead
        && input.newSlots >= static_cast<double>(input.inProgressOther) && input.newSlots > 0;
}

void RolloutCoordinator::beginMoving(double share, std::string reason, Clock::TimePoint now)
{
    m_phase = Phase::Moving;
    const auto it = std::ranges::lower_bound(shares, share);
    m_step = std::min<std::size_t>(static_cast<std::size_t>(it - shares.begin()), shares.size() - 1);
    m_stepStart = now;
    m_reason = std::move(reason);
}

void RolloutCoordinator::move(const Input &input, Clock::TimePoint decisionTime, Clock::TimePoint now)
{
    // What is late makes its steps shorter, so that the last one still begins before the decision.
    const Clock::Duration left = (decisionTime - m_stepStart) / static_cast<int>(shares.size() - m_step);
    const Clock::Duration duration = std::min(shortened(stepTime, m_order.duration, movingPart / (shares.size() + 1)), left);
    if (now < m_stepStart + duration || input.verdict.kind != VersionVerdict::Kind::Sound) {
        return;
    }
    if (m_step + 1 < shares.size()) {
        ++m_step;
        m_stepStart = now;
    } else if (input.inProgressOther == 0) {
        m_completing = true;
        m_reason = input.verdict.reason;
    }
}

void RolloutCoordinator::step(const Input &input, Clock::TimePoint start, Clock::TimePoint now)
{
    const bool isKnown = input.status && input.status->version == m_order.version;
    if (isKnown && input.status->isFinal()) {
        m_phase = input.status->state == State::Completed ? Phase::Completed : Phase::RolledBack;
        m_completing = false;
        m_reason = "the status is written";
        return;
    }
    if (m_phase == Phase::RolledBack || m_completing) {
        return;
    }
    if (m_phase == Phase::Completed) {
        m_completing = true; // The store has lost the status.
        return;
    }
    if (std::exchange(m_isFirstStep, false) && input.confirmedShare > 0) {
        beginMoving(input.confirmedShare, "another coordinator has begun to move", now);
    }
    if (input.isWithdrawn) {
        rollBack("another coordinator has withdrawn the version", now);
    } else if (input.verdict.kind == VersionVerdict::Kind::Bad) {
        rollBack(input.verdict.reason, now);
    } else {
        decide(input, start, now);
    }
}

void RolloutCoordinator::decide(const Input &input, Clock::TimePoint start, Clock::TimePoint now)
{
    const Clock::TimePoint deadline = start + m_order.duration;
    const Clock::TimePoint decisionTime = deadline - shortened(finalTime, m_order.duration, finalPart);
    const bool isSound = input.verdict.kind == VersionVerdict::Kind::Sound;
    if (now < decisionTime) {
        if (m_phase == Phase::Moving) {
            move(input, decisionTime, now);
        } else if (mayMove(input, start, now)) {
            beginMoving(0, input.verdict.reason, now);
        }
        return;
    }
    if (m_phase == Phase::Moving && isSound) {
        m_step = shares.size() - 1;
        m_completing = true;
        m_reason = input.verdict.reason;
    } else if (m_phase != Phase::Moving || now >= deadline - shortened(lastTime, m_order.duration, lastPart)) {
        rollBack("the deadline came without a verdict; " + input.verdict.reason, now);
    }
}

RolloutState::Phase RolloutCoordinator::phase() const
{
    return m_phase;
}

double RolloutCoordinator::share() const
{
    switch (m_phase) {
    case Phase::Moving:
        return shares.at(m_step);
    case Phase::Completed:
        return 1;
    case Phase::Observing:
    case Phase::RolledBack:
        break;
    }
    return 0;
}

std::optional<RolloutStatus> RolloutCoordinator::statusToWrite(const std::optional<RolloutStatus> &known, Clock::TimePoint now) const
{
    RolloutStatus wanted{m_order.service, State::InProgress, m_order.version};
    if (known && known->version == m_order.version && known->isFinal()) {
        return std::nullopt;
    }
    if (m_completing || m_phase == Phase::Completed) {
        wanted.state = State::Completed;
    } else if (m_phase == Phase::RolledBack && now >= m_decided + announceTime) {
        wanted.state = State::RolledBack;
    }
    return known == wanted ? std::nullopt : std::optional(wanted);
}

const std::string &RolloutCoordinator::reason() const
{
    return m_reason;
}

} // namespace Guavalock
