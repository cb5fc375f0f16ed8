#pragma once

#include "Fleet/AttemptReport.h"
#include "Fleet/SelectedTarget.h"
#include "Fleet/TargetRequirements.h"
#include "Kernel/Clock.h"
#include "Placement/PlacementQuery.h"
#include "Placement/PlacementResult.h"

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <functional>
#include <optional>
#include <string>

namespace Guavalock
{

class Cancellation;
struct OpaqueRequest;
struct Reason;
struct RelayContext;
struct RouteRecord;
struct ServiceRecord;

/// Selects the target of each attempt of one request, and records what becomes of the attempts.
///
/// For a model service, the placement owner is asked first. This daemon selects the target itself if the owner does not answer in time or
/// has selected a target that this daemon may not use.
class TargetSelection
{
public:
    struct Parameters {
        const OpaqueRequest &request;
        const RouteRecord &route;
        const ServiceRecord &service;
        unsigned rank = 0;
        Clock::TimePoint objectiveDeadline;
        Clock::TimePoint deadline;
    };

    TargetSelection(const RelayContext &context, Parameters parameters, Cancellation &cancellation);
    ~TargetSelection();

    TargetSelection(const TargetSelection &) = delete;
    TargetSelection &operator=(const TargetSelection &) = delete;

    /// Returns how long a request with the given objective waits for the answer of a placement owner.
    static std::chrono::milliseconds maxWait(std::chrono::milliseconds latencyObjective);

    /// Returns whether the request does not fit into the memory of any target of its service.
    bool isTooLarge() const;

    /// Sets where the results of the last stage are and how many bytes the target has to fetch.
    void setStageResults(const std::string &dataCentre, std::uint64_t bytes);

    TargetRequirements requirements() const;

    /// Waits for a target until the request is cancelled, may not continue, or no target will be available in time. Returns nothing then,
    /// with the reason in reason().
    boost::asio::awaitable<std::optional<SelectedTarget>> select(const std::function<bool()> &mayContinue);

    const std::string &reason() const;

    /// Returns whether no target will be available in time, and sets when the client may return.
    bool isUnavailable(Clock::TimePoint now);

    /// Returns when the client may return, or nothing if targets have stated nothing about it.
    std::optional<std::chrono::milliseconds> retryAfter() const;

    /// Excludes a target from further attempts as long as there are others.
    void addTried(const std::string &target);
    bool hasTried(const std::string &target) const;

    /// Records that the target has begun to stream its response.
    void recordStart(const SelectedTarget &target, const AttemptReport &report);

    /// Records the end of an attempt.
    void recordEnd(const SelectedTarget &target, const AttemptReport &report);

private:
    PlacementQuery query() const;
    std::optional<SelectedTarget> choose(Reason &reason);
    /// Tells the owner that a placed request was not sent.
    void abandon();

    const RelayContext &m_context;
    Parameters m_parameters;
    Cancellation &m_cancellation;
    TargetRequirements m_requirements;
    std::string m_resultsDataCentre; ///< Of the results of the last stage; empty if there are none.
    std::size_t m_remoteTokens = 0; ///< Prompt tokens whose processing costs as much as fetching them from there.
    PlacementResult m_placement; ///< Of the current attempt.
    Clock::TimePoint m_sentAt;
    bool m_started = false; ///< The target of the current attempt has begun to respond.
    std::string m_reason;
    std::optional<std::chrono::milliseconds> m_retryAfter;
};

} // namespace Guavalock
