#pragma once

#include "Batching/PendingPieces.h"
#include "Batching/StagePlan.h"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <memory>
#include <set>
#include <string>

namespace Guavalock
{

class PieceRouter;
class StageTimes;

/// Executes the stages of one request on the request's strand. The destructor frees all remaining results.
class StageRun
{
public:
    enum class Outcome {
        Complete,
        DeadlineExceeded, ///< The deadline passed before the stages were complete.
        Refused, ///< A piece was refused. Other pieces may have been processed; their results are freed.
        Failed, ///< A piece failed.
        Cancelled,
    };

    struct Parameters {
        unsigned rank = 0;
        Clock::TimePoint objectiveDeadline; ///< Time by which the answer should start.
        Clock::TimePoint deadline;
        std::string answerService; ///< The service that answers the request once its stages are complete.
        /// Services whose backlog was considered when the request was admitted. Their pieces are not refused.
        std::set<std::string> admittedServices;
        bool noOutputSent = true; ///< The caller has received no output yet, so the request may still be refused.
        /// Returns the shortest duration of a call to a service. Calls that would end too late for the calls after them are not made.
        std::function<Clock::Duration(const std::string &service)> shortestCall = [](const std::string &) {
            return Clock::Duration::zero();
        };
    };

    StageRun(PieceRouter &router, StageTimes &times, const Clock &clock, StagePlan plan, Parameters parameters, Cancellation &cancellation,
             std::string requestId);
    ~StageRun();

    StageRun(const StageRun &) = delete;
    StageRun &operator=(const StageRun &) = delete;

    /// Executes all stages. Returns when they are complete or cannot be completed. In the latter case, all outstanding pieces have been
    /// cancelled and all results are being freed.
    boost::asio::awaitable<Outcome> run();

    const StagePlan &plan() const;

    /// Frees all results and resets the plan, so that the stages are executed again.
    void restart();

private:
    boost::asio::awaitable<Outcome> runToEnd();
    void submitReady();
    Outcome apply(const Piece &piece, const PieceResult &result);
    Outcome applyAll(const std::vector<PendingPieces::Delivery> &results);

    /// Cancels outstanding pieces and frees results that have arrived but were not recorded.
    void abandon();

    PieceRouter &m_router;
    StageTimes &m_times;
    const Clock &m_clock;
    StagePlan m_plan;
    Parameters m_parameters;
    Cancellation &m_cancellation;
    std::string m_requestId;
    std::shared_ptr<PendingPieces> m_pending;
    bool m_submitted = false; ///< Pieces have been submitted, so that a refusal of others would come late.
};

} // namespace Guavalock
