#pragma once

#include "Fleet/RolloutOrder.h"
#include "Fleet/RolloutStatus.h"
#include "Fleet/VersionPlan.h"
#include "Kernel/Clock.h"
#include "Rollout/RolloutState.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace Guavalock
{

struct RolloutLimits;

/// Decides which versions of one service this daemon may send a request to.
///
/// While an order is observed, the new version receives a share of the daemon's own requests only. The shares of all daemons together are
/// then within the limit whatever messages are late, lost or never sent.
class RolloutGate
{
public:
    /// The part of the permitted share that daemons use. The rest covers requests that a daemon has counted and that then ended without
    /// reaching the service.
    static constexpr double usedShare = 0.8;

    /// Credit beyond this many requests is lost. It allows one request for each of two routes at once. With more, all daemons of a large
    /// fleet would send what they saved while the new targets were cold as one burst, before any of its responses is known.
    static constexpr double maxCredit = 2;

    /// Without a message of the coordinator for this long, a share above the credit isn't used: three intervals.
    static constexpr std::chrono::milliseconds shareLifetime{1'500};

    explicit RolloutGate(const RolloutLimits &limits);

    /// Applies an order or its deletion. An order for the same version only changes the duration. Returns whether anything has changed.
    bool applyOrder(const RolloutOrder &order, Clock::TimePoint now);

    /// Applies the status record, which is the last word on an order.
    void applyStatus(const RolloutStatus &status);

    /// Applies a coordinator's message.
    void applyState(const RolloutState &state, Clock::TimePoint now);

    /// Another daemon has known the order since an earlier time.
    void learnStart(Clock::TimePoint start);

    /// Returns the versions that a request may be sent to. The hash distributes requests while the share grows.
    VersionPlan plan(const std::string &route, bool isRepetition, std::uint64_t requestHash, Clock::TimePoint now) const;

    /// Counts a request that is sent to a target of the version.
    void recordSend(const std::string &route, const std::string &version, bool isRepetition, Clock::TimePoint now);

    /// Returns the order that has neither been deleted nor ended.
    const std::optional<RolloutOrder> &order() const;

    /// Returns whether the order has ended or been deleted, so that the version receives nothing.
    bool isWithdrawn(const std::string &version) const;

    /// Returns the version that the last completed order moved the service to; empty if there is none.
    const std::string &completedVersion() const;

    /// Returns the share that a coordinator has stated and that is still in use, or zero.
    double confirmedShare(Clock::TimePoint now) const;

    Clock::TimePoint orderStart() const;
    Clock::TimePoint deadline() const;

private:
    /// What this daemon has sent of one route.
    struct Route {
        std::uint64_t sent = 0; ///< To the new version.
        Clock::TimePoint lastRequest;
    };

    void withdraw(const std::string &version);
    bool isActive() const;
    bool isShareConfirmed(Clock::TimePoint now) const;
    /// Returns whether the route has its turn: no route in use has sent the new version less.
    bool hasTurn(const std::string &route, Clock::TimePoint now) const;

    double m_earned; ///< Credit for each request.
    std::optional<RolloutOrder> m_order;
    Clock::TimePoint m_start;
    std::set<std::string> m_withdrawn;
    std::string m_completed;
    std::string m_lastStatusVersion;
    double m_credit = 0; ///< Requests.
    double m_share = 0; ///< As last stated by a coordinator.
    std::optional<Clock::TimePoint> m_shareConfirmed;
    std::map<std::string, Route> m_routes;
};

} // namespace Guavalock
