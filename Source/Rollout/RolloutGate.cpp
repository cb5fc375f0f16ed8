#include "Rollout/RolloutGate.h"

#include "Rollout/RolloutLimits.h"

#include <algorithm>
#include <cmath>

namespace Guavalock
{

namespace
{

/// A route without a request for this long has no turn that others would wait for.
constexpr std::chrono::seconds routeLifetime{3};

/// Returns a number from 0 to 1 that depends on the hash only, so that a request that waits stays with its version.
double fraction(std::uint64_t hash)
{
    return std::ldexp(static_cast<double>(hash >> 11U), -53);
}

} // namespace

RolloutGate::RolloutGate(const RolloutLimits &limits)
    : m_earned(limits.exposureShare * usedShare)
{
}

void RolloutGate::withdraw(const std::string &version)
{
    if (version != m_completed) {
        m_withdrawn.insert(version);
    }
}

bool RolloutGate::applyOrder(const RolloutOrder &order, Clock::TimePoint now)
{
    if (m_order == order || (!m_order && order.version.empty())) {
        return false;
    }
    if (m_order && m_order->version == order.version) {
        m_order->duration = order.duration;
        return true;
    }
    if (m_order) {
        withdraw(m_order->version);
    }
    m_order.reset();
    m_share = 0;
    m_shareConfirmed.reset();
    if (order.version.empty()) {
        return true;
    }
    if (m_lastStatusVersion != order.version && !m_lastStatusVersion.empty()) {
        m_withdrawn.erase(order.version); // The version was withdrawn under an earlier order, which another one has followed.
    }
    m_order = order;
    m_start = now;
    m_credit = 0;
    m_routes.clear();
    return true;
}

void RolloutGate::applyStatus(const RolloutStatus &status)
{
    m_lastStatusVersion = status.version;
    if (status.state == RolloutStatus::State::Completed) {
        m_withdrawn.erase(status.version);
        m_completed = status.version;
    } else if (status.state == RolloutStatus::State::RolledBack) {
        withdraw(status.version);
    }
}

void RolloutGate::applyState(const RolloutState &state, Clock::TimePoint now)
{
    switch (state.phase) {
    case RolloutState::Phase::Completed:
        applyStatus({state.service, RolloutStatus::State::Completed, state.version});
        return;
    case RolloutState::Phase::RolledBack:
        withdraw(state.version);
        return;
    case RolloutState::Phase::Observing:
    case RolloutState::Phase::Moving:
        break;
    }
    if (m_order && m_order->version == state.version) {
        learnStart(state.orderStart);
        m_share = state.phase == RolloutState::Phase::Moving ? std::clamp(state.share, 0.0, 1.0) : 0;
        m_shareConfirmed = now;
    }
}

void RolloutGate::learnStart(Clock::TimePoint start)
{
    m_start = std::min(m_start, start);
}

bool RolloutGate::isActive() const
{
    return m_order && m_order->version != m_completed && !m_withdrawn.contains(m_order->version);
}

bool RolloutGate::isShareConfirmed(Clock::TimePoint now) const
{
    return m_share > 0 && m_shareConfirmed && now - *m_shareConfirmed <= shareLifetime;
}

bool RolloutGate::hasTurn(const std::string &route, Clock::TimePoint now) const
{
    if (m_credit >= maxCredit) {
        return true; // Waiting for another route would lose credit.
    }
    const auto own = m_routes.find(route);
    const std::uint64_t sent = own == m_routes.end() ? 0 : own->second.sent;
    return std::ranges::none_of(m_routes,
                                [&](const auto &it) { return it.second.sent < sent && now - it.second.lastRequest < routeLifetime; });
}

VersionPlan RolloutGate::plan(const std::string &route, bool isRepetition, std::uint64_t requestHash, Clock::TimePoint now) const
{
    using Use = VersionPlan::Use;
    VersionPlan plan;
    plan.withdrawn = m_withdrawn;
    if (!isActive()) {
        plan.version = m_completed;
        plan.otherVersions = m_completed.empty() ? Use::Preferred : Use::IfNoneKnown;
        return plan;
    }
    plan.version = m_order->version;
    if (isShareConfirmed(now)) {
        const bool isNew = fraction(requestHash) < m_share;
        plan.newVersion = isNew ? Use::Preferred : Use::IfNoneAvailable;
        plan.otherVersions = isNew ? Use::IfNoneAvailable : Use::Preferred;
        plan.share = m_share;
        return plan;
    }
    plan.share = m_earned;
    plan.newVersion = Use::IfNoneKnown;
    // A repetition isn't given to the new version, which may be the one that failed it.
    if (m_credit >= 1 && !isRepetition && now < deadline() && hasTurn(route, now)) {
        plan.newVersion = Use::Preferred;
        plan.otherVersions = Use::IfNoneAvailable;
        plan.warmOnly = true;
        plan.maxCalls = static_cast<std::size_t>(m_credit);
    }
    return plan;
}

void RolloutGate::recordSend(const std::string &route, const std::string &version, bool isRepetition, Clock::TimePoint now)
{
    if (!isActive()) {
        return;
    }
    Route &counted = m_routes[route];
    counted.lastRequest = now;
    const bool isNew = version == m_order->version;
    counted.sent += isNew ? 1 : 0;
    if (isShareConfirmed(now)) {
        m_credit = 0; // Requests above the credit have been sent.
        return;
    }
    if (!isRepetition) {
        m_credit = std::min(maxCredit, m_credit + m_earned);
    }
    if (isNew) {
        m_credit = std::max(0.0, m_credit - 1);
    }
}

const std::optional<RolloutOrder> &RolloutGate::order() const
{
    return m_order;
}

bool RolloutGate::isWithdrawn(const std::string &version) const
{
    return m_withdrawn.contains(version);
}

const std::string &RolloutGate::completedVersion() const
{
    return m_completed;
}

double RolloutGate::confirmedShare(Clock::TimePoint now) const
{
    return isActive() && isShareConfirmed(now) ? m_share : 0;
}

Clock::TimePoint RolloutGate::orderStart() const
{
    return m_start;
}

Clock::TimePoint RolloutGate::deadline() const
{
    return m_order ? m_start + m_order->duration : m_start;
}

} // namespace Guavalock
