#pragma once

#include "Fleet/PlacementCandidate.h"
#include "Fleet/TargetLoad.h"
#include "Kernel/Clock.h"

#include <cstddef>
#include <cstdint>

namespace Guavalock
{

/// What is known about one target for placement: the work placed there, its speed and its reliability.
class TargetWork
{
public:
    /// Work of which other owners and this one have told.
    struct Amount {
        std::size_t requests = 0;
        std::size_t tokens = 0; ///< Prompt and output tokens.
        std::size_t waitingTokens = 0; ///< Prompt tokens that have not been processed yet.
    };

    explicit TargetWork(PlacementCandidate candidate);

    const PlacementCandidate &candidate() const
    {
        return m_candidate;
    }
    void setCandidate(PlacementCandidate candidate);

    /// Returns the hash of the target's id.
    std::uint64_t hash() const
    {
        return m_hash;
    }

    /// Adds a request with the tokens that it needs in all, those of them that only it uses, and those that the target has yet to process.
    void add(std::size_t tokens, std::size_t privateTokens, std::size_t waitingTokens, Clock::TimePoint now);

    /// The target has processed the prompt of a request.
    void start(std::size_t waitingTokens, Clock::TimePoint now);

    /// Removes a request that has started.
    void remove(std::size_t tokens, std::size_t privateTokens);

    /// Ends the wait of a request whose prompt has not been processed, before it is removed.
    void removeWaiting(std::size_t waitingTokens);

    const Amount &own() const
    {
        return m_own;
    }

    /// Returns the tokens that the requests in progress don't share with others.
    std::size_t privateTokens() const;

    /// Sets the work that the owners of other data centres have placed.
    void setRemote(const Amount &amount);

    /// Returns the work of all owners, and the requests that the target has stated but no owner has told of.
    Amount total(Clock::TimePoint now) const;

    /// Returns how long the target has been processing the prompt at the head of its queue.
    Clock::Duration headTime(Clock::TimePoint now) const
    {
        return m_waiting == 0 ? Clock::Duration::zero() : now - m_headStart;
    }
    std::size_t waiting() const
    {
        return m_waiting;
    }

    /// Records how long a response took relative to the expectation, and whether the target responded at all.
    void recordRatio(double ratio, Clock::TimePoint now);
    void recordHealth(bool good);

    /// Records that the target could not be reached, or did not respond. It counts as suspect for a while.
    void recordLoss(Clock::TimePoint now);
    bool isSuspect(Clock::TimePoint now) const
    {
        return now < m_suspectUntil;
    }
    void recordLoad(const TargetLoad &load, Clock::TimePoint now);

    /// Returns how many times as long as usual work takes at the target.
    double slowness(Clock::TimePoint now) const;

    /// Returns the part of it that the target has stated.
    double statedSlowness(Clock::TimePoint now) const
    {
        return now < m_statedUntil ? m_stated : 1;
    }

    /// Returns the recent success ratio, from 0 to 1.
    double health() const
    {
        return m_health;
    }

private:
    PlacementCandidate m_candidate;
    std::uint64_t m_hash;
    Amount m_own;
    Amount m_remote;
    std::size_t m_privateTokens = 0;
    std::size_t m_waiting = 0; ///< Requests that have not started.
    Clock::TimePoint m_headStart{}; ///< When the processing of the first waiting prompt probably began.
    double m_untold = 0; ///< Requests stated by the target beyond those known, as of m_loadTime.
    Clock::TimePoint m_loadTime{};
    double m_stated = 1; ///< Slowness as last stated.
    Clock::TimePoint m_statedUntil{};
    double m_logarithms = 0; ///< Weighted sum of the logarithms of ratios, as of m_ratioTime.
    double m_weight = 0;
    Clock::TimePoint m_ratioTime{};
    mutable double m_learned = 1; ///< Slowness calculated from the above at m_learnedTime.
    mutable Clock::TimePoint m_learnedTime{};
    double m_health = 1;
    unsigned m_losses = 0; ///< Since the last success.
    Clock::TimePoint m_suspectUntil{};
};

} // namespace Guavalock
