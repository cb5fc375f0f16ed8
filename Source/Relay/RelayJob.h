#pragma once

#include "Batching/StageRun.h"
#include "Fleet/TargetDemand.h"
#include "Flow/Cancellation.h"
#include "Kernel/Refusal.h"
#include "Relay/AttemptOutcome.h"
#include "Relay/OpaqueRequest.h"
#include "Relay/RelayParts.h"
#include "Relay/SendTerms.h"
#include "Relay/StreamProgress.h"

#include <boost/asio/awaitable.hpp>

#include <memory>
#include <optional>
#include <set>
#include <string>

namespace Guavalock
{

class AnswerSink;
class Catalogue;
struct OrganisationRecord;
struct RouteRecord;
struct ServiceRecord;
struct TargetPick;

/// Carries one opaque request from its route to its answer: stages, attempts, repeats and refusals. Runs on the request's strand.
class RelayJob
{
public:
    RelayJob(const RelayParts &parts, OpaqueRequest request, AnswerSink &sink, Cancellation &cancellation);
    ~RelayJob();

    /// Answers or refuses the request. Returns when its caller has been told, or is gone.
    boost::asio::awaitable<void> run();

private:
    /// What to do after an attempt.
    enum class Next {
        Done, ///< The caller has been told, or is gone.
        Again,
    };

    using Handler = boost::asio::awaitable<Next> (RelayJob::*)(AttemptOutcome &outcome);

    bool admit();
    bool refuseLater(ResultCode code, RunState run, std::string reason);
    void beginStages();
    boost::asio::awaitable<bool> makeStages();
    boost::asio::awaitable<Next> attempt();
    boost::asio::awaitable<std::optional<TargetPick>> findTarget();
    boost::asio::awaitable<Next> answered(AttemptOutcome &outcome);
    boost::asio::awaitable<Next> delivered(AttemptOutcome &outcome);
    boost::asio::awaitable<Next> notRun(AttemptOutcome &outcome);
    boost::asio::awaitable<Next> notReached(AttemptOutcome &outcome);
    boost::asio::awaitable<Next> inputsGone(AttemptOutcome &outcome);
    boost::asio::awaitable<Next> noAnswer(AttemptOutcome &outcome);
    boost::asio::awaitable<Next> cut(AttemptOutcome &outcome);
    boost::asio::awaitable<Next> cancelled(AttemptOutcome &outcome);
    boost::asio::awaitable<void> refuse(ResultCode code, std::string reason);
    boost::asio::awaitable<void> tellRefusal();

    /// Returns whether the request may be sent to another target after one that may have run it, and takes it from the budget.
    bool mayRepeat();
    bool otherTargetWorthwhile(const TargetPick &target) const;
    TargetDemand demand() const;
    SendTerms sendTerms(const TargetPick &target) const;
    /// Returns the time by which an answer has to have begun, or its caller is gone.
    Clock::TimePoint firstEventLimit() const;
    /// Returns for how long a caller stays with a stream that is silent.
    std::chrono::milliseconds patience() const;

    std::chrono::milliseconds sinceArrival() const;
    std::chrono::milliseconds timeLeft() const;
    std::chrono::milliseconds silenceLimit(const TargetPick &target) const;
    void noteRepeat(std::string_view cause) const;
    void logEnd(std::string_view outcome, unsigned status) const;

    const RelayParts &m_parts;
    OpaqueRequest m_request;
    AnswerSink &m_sink;
    Cancellation &m_cancellation;
    std::shared_ptr<const Catalogue> m_catalogue;
    const RouteRecord *m_route = nullptr;
    const ServiceRecord *m_service = nullptr;
    const OrganisationRecord *m_organisation = nullptr;
    unsigned m_rank = 0;
    Clock::TimePoint m_deadline;
    Clock::TimePoint m_objective;
    Clock::TimePoint m_sentAt; ///< The last attempt.
    std::unique_ptr<StageRun> m_stages;
    StreamProgress m_progress;
    std::optional<std::chrono::milliseconds> m_stagesTook; ///< From the request's arrival until its stages were made.
    std::optional<std::chrono::milliseconds> m_firstEvent; ///< From its arrival until the answer's first event.
    Refusal m_refusal;
    std::set<std::string> m_tried;
    std::string m_lastTarget;
    unsigned m_runs = 0; ///< Attempts that may have run.
    unsigned m_sends = 0;
    RunState m_runState = RunState::No;
};

} // namespace Guavalock
