#pragma once

#include "Fleet/RolloutOrder.h"
#include "Fleet/RolloutStatus.h"
#include "Kernel/Clock.h"
#include "Rollout/RolloutState.h"
#include "Rollout/VersionVerdict.h"

#include <cstdint>
#include <optional>
#include <string>

namespace Guavalock
{

/// Decides on one order: observe, move, complete or roll back. Without messages of its own; see RolloutExchange.
///
/// A coordinator that replaces another goes on with the share that is in use, and decides by the evidence that it receives. A verdict that
/// is written is never changed.
class RolloutCoordinator
{
public:
    /// What the decision is based on.
    struct Input {
        VersionVerdict verdict;
        std::uint64_t inProgressOther = 0; ///< Requests at targets of other versions.
        double newSlots = 0; ///< Of the available warm targets of the new version, in requests.
        std::optional<RolloutStatus> status; ///< As last read from the store.
        double confirmedShare = 0; ///< That a coordinator, maybe the one that this one replaces, has stated within the last moments.
        bool isWithdrawn = false; ///< Whether another coordinator has found the version bad.
    };

    /// Time before the deadline at which moving begins: the steps, the end of the requests at the other versions, and the writing of the
    /// status. The later it is, the longer a version that turns bad late is observed within its share.
    static constexpr std::chrono::milliseconds movingTime{5'000};
    static constexpr double movingPart = 0.4; ///< Of the duration of shorter orders.

    static constexpr std::chrono::milliseconds stepTime{600}; ///< Two intervals of evidence and the way to the daemons.

    /// Time before the deadline at which the decision falls at the latest: the status may have to be written twice.
    static constexpr std::chrono::milliseconds finalTime{1'500};
    static constexpr double finalPart = 0.125; ///< Of the duration of shorter orders.

    /// Time before the deadline until which a coordinator that replaces another during the move waits for evidence.
    static constexpr std::chrono::milliseconds lastTime{1'100};
    static constexpr double lastPart = 0.09; ///< Of the duration of shorter orders.

    /// Time from the announcement of a rollback to the writing of its status, in which the daemons receive it.
    static constexpr std::chrono::milliseconds announceTime{250};

    explicit RolloutCoordinator(RolloutOrder order);

    /// Applies an order for the same version with another duration.
    void setOrder(const RolloutOrder &order);

    /// Decides anew. The start is that of the order.
    void step(const Input &input, Clock::TimePoint start, Clock::TimePoint now);

    RolloutState::Phase phase() const;

    /// Returns the share of requests that go to the new version, from 0 to 1.
    double share() const;

    /// Returns the status to write, if the store has another one.
    std::optional<RolloutStatus> statusToWrite(const std::optional<RolloutStatus> &known, Clock::TimePoint now) const;

    /// Returns why the phase was entered.
    const std::string &reason() const;

private:
    void rollBack(std::string reason, Clock::TimePoint now);
    /// Begins with the step of a share that is in use, or with the first one.
    void beginMoving(double share, std::string reason, Clock::TimePoint now);
    void move(const Input &input, Clock::TimePoint decisionTime, Clock::TimePoint now);
    void decide(const Input &input, Clock::TimePoint start, Clock::TimePoint now);
    bool mayMove(const Input &input, Clock::TimePoint start, Clock::TimePoint now) const;

    RolloutOrder m_order;
    RolloutState::Phase m_phase = RolloutState::Phase::Observing;
    bool m_isFirstStep = true;
    std::size_t m_step = 0; ///< While moving.
    Clock::TimePoint m_stepStart;
    bool m_completing = false; ///< The status *completed* is being written, so it can no longer be taken back.
    Clock::TimePoint m_decided; ///< When the version was rolled back.
    std::string m_reason;
};

} // namespace Guavalock
