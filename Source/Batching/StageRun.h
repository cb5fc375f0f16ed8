#pragma once

#include "Batching/PieceWait.h"
#include "Batching/StagePlan.h"

#include <boost/asio/awaitable.hpp>

#include <memory>
#include <string>

namespace Guavalock
{

class PieceRouter;
class StageTimes;

/// Has the stages of one request made. Runs on the request's strand. Frees every result that is left at its end.
class StageRun
{
public:
    enum class End {
        Complete,
        Late, ///< The deadline would pass first.
        Refused, ///< The stages have too much to do already; nothing was made.
        Failed, ///< A piece could not be made.
        Cancelled,
    };

    struct Terms {
        unsigned rank = 0;
        Clock::TimePoint objective; ///< Of the whole request.
        Clock::TimePoint deadline;
        std::string answerService; ///< That answers the request after its stages.
        bool refusable = true; ///< Whether the request may still be refused, since its caller has got nothing yet.
    };

    StageRun(PieceRouter &router, StageTimes &times, const Clock &clock, StagePlan plan, Terms terms, Cancellation &cancellation,
             std::string requestId);
    ~StageRun();

    StageRun(const StageRun &) = delete;
    StageRun &operator=(const StageRun &) = delete;

    /// Goes on until all stages are complete.
    boost::asio::awaitable<End> run();

    const StagePlan &plan() const;

    /// Frees all results; what is still wanted has to be made again.
    void restart();

private:
    void submitReady();
    End take(const Piece &piece, const PieceResult &result);
    End takeAll(const std::vector<PieceWait::Arrived> &results);

    /// Stops waiting, and frees the results that have arrived meanwhile.
    void abandon();

    PieceRouter &m_router;
    StageTimes &m_times;
    const Clock &m_clock;
    StagePlan m_plan;
    Terms m_terms;
    Cancellation &m_cancellation;
    std::string m_requestId;
    std::shared_ptr<PieceWait> m_wait;
};

} // namespace Guavalock
