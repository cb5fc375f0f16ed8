#pragma once

#include "Batching/StageRun.h"
#include "Flow/Cancellation.h"
#include "Relay/ArrivalAdmission.h"
#include "Relay/AttemptOutcome.h"
#include "Relay/ContentGuard.h"
#include "Relay/OpaqueRequest.h"
#include "Relay/RelayContext.h"
#include "Relay/RequestCompletion.h"
#include "Relay/RequestHistory.h"
#include "Relay/RouteTimer.h"
#include "Relay/StopGuard.h"
#include "Relay/StreamProgress.h"
#include "Relay/TargetSelection.h"
#include "Relay/UpstreamParameters.h"

#include <boost/asio/awaitable.hpp>

#include <memory>
#include <optional>
#include <string>

namespace Guavalock
{

class ResponseSink;
class Catalogue;
struct RouteRecord;
struct ServiceRecord;
struct SelectedTarget;

/// Processes one opaque request: routing, stages, attempts at targets, retries and refusals. Runs on the request's strand.
class RelayJob
{
public:
    RelayJob(const RelayContext &context, OpaqueRequest request, ResponseSink &sink, Cancellation &cancellation);
    ~RelayJob();

    /// Processes the request until a response or a refusal has been sent, or the client has disconnected.
    boost::asio::awaitable<void> run();

private:
    /// The next step after an attempt.
    enum class NextStep {
        Done, ///< A response or refusal was sent, or the client has disconnected.
        Retry, ///< Try another target.
    };

    using Handler = boost::asio::awaitable<NextStep> (RelayJob::*)(AttemptOutcome &outcome);

    /// Selects route, organisation and service. Returns false after setting a refusal.
    bool admit();
    /// Returns whether the request can be accepted although the daemon may be stopping. Sets a refusal if not.
    bool admitDuringStop();
    /// Returns whether the request's content is not in quarantine. Sets a refusal if it is.
    bool admitContent();
    /// Sets the refusal to send. Returns false, so that admit() can return its result.
    bool setRefusal(ResultCode code, RunState run, std::string reason);
    void startStages();
    boost::asio::awaitable<bool> runStages();
    boost::asio::awaitable<NextStep> runAttempt();
    boost::asio::awaitable<std::optional<SelectedTarget>> selectTarget();
    boost::asio::awaitable<NextStep> onResponse(AttemptOutcome &outcome);
    boost::asio::awaitable<NextStep> onStreamEnd(AttemptOutcome &outcome);
    boost::asio::awaitable<NextStep> onNotExecuted(AttemptOutcome &outcome);
    boost::asio::awaitable<NextStep> onUnreachable(AttemptOutcome &outcome);
    boost::asio::awaitable<NextStep> onInputsMissing(AttemptOutcome &outcome);
    boost::asio::awaitable<NextStep> onNoResponse(AttemptOutcome &outcome);
    boost::asio::awaitable<NextStep> onStreamInterrupted(AttemptOutcome &outcome);
    boost::asio::awaitable<NextStep> onCancelled(AttemptOutcome &outcome);

    /// Takes a retry from the budget for a request that may already have been executed. Returns false if a retry is not permitted.
    bool acquireRetry();
    UpstreamParameters upstreamParameters(const SelectedTarget &target) const;
    /// Returns the time by which the response must have started; after it, clients have disconnected.
    Clock::TimePoint firstEventDeadline() const;

    std::chrono::milliseconds elapsedTime() const;
    std::chrono::milliseconds remainingTime() const;
    /// Returns the timeout for the first byte of a response, or nothing if it would not leave an attempt and enough time for another
    /// target.
    std::optional<std::chrono::milliseconds> firstByteTimeout(const SelectedTarget &target) const;

    const RelayContext &m_context;
    OpaqueRequest m_request;
    ResponseSink &m_sink;
    Cancellation &m_cancellation;
    std::shared_ptr<const Catalogue> m_catalogue;
    const RouteRecord *m_route = nullptr;
    const ServiceRecord *m_service = nullptr;
    std::string m_organisation; ///< Empty for anonymous requests.
    std::optional<ContentGuard> m_content;
    std::optional<StopGuard> m_stopGuard;
    std::optional<TargetSelection> m_selection;
    unsigned m_rank = 0;
    Clock::TimePoint m_deadline;
    Clock::TimePoint m_objectiveDeadline; ///< Receipt of the request plus the route's latency objective.
    Clock::TimePoint m_attemptStart; ///< Start of the last attempt.
    std::optional<RouteTimer> m_timer; ///< Since the receipt of the request.
    std::optional<ArrivalAdmission> m_arrival; ///< Set for requests with stages.
    std::unique_ptr<StageRun> m_stages;
    StreamProgress m_progress;
    RequestHistory m_history;
    RequestCompletion m_completion;
    unsigned m_possibleExecutions = 0; ///< Attempts in which the request may have been executed.
};

} // namespace Guavalock
