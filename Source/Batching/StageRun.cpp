#include "Batching/StageRun.h"

#include "Batching/PieceRouter.h"
#include "Batching/StageTimes.h"

#include <algorithm>

namespace Guavalock
{

namespace Asio = boost::asio;

namespace
{

constexpr std::chrono::milliseconds ownerCheck{300}; ///< Interval of the checks that the owners of outstanding pieces are alive.
constexpr std::chrono::milliseconds stageTime{280}; ///< Typical duration of a stage: one call and some queueing.
constexpr std::chrono::milliseconds answerTime{120}; ///< Typical time from the last stage to the first event of the answer.

} // namespace

StageRun::StageRun(PieceRouter &router, StageTimes &times, const Clock &clock, StagePlan plan, Terms terms, Cancellation &cancellation,
                   std::string requestId)
    : m_router(router)
    , m_times(times)
    , m_clock(clock)
    , m_plan(std::move(plan))
    , m_terms(std::move(terms))
    , m_cancellation(cancellation)
    , m_requestId(std::move(requestId))
    , m_wait(std::make_shared<PieceWait>(cancellation, [&router](const std::string &owner, std::vector<std::string> handles) {
        router.releaseAt(owner, std::move(handles));
    }))
{
}

StageRun::~StageRun()
{
    abandon();
    m_router.release(m_plan.allHandles());
}

void StageRun::abandon()
{
    m_router.abandon(m_wait, m_requestId);
    StagePlan::Handles unused;
    for (const PieceWait::Arrived &it : m_wait->takeArrived()) {
        if (!it.result.handle.empty()) {
            unused[it.piece.service].push_back(it.result.handle);
        }
    }
    m_router.release(unused);
}

void StageRun::submitReady()
{
    const Clock::TimePoint now = m_clock.now();
    const auto expected = [&](const std::string &service) {
        return m_times.expected(service, stageTime, now);
    };
    std::vector<Piece> pieces = m_plan.takeReady(expected);
    const Clock::TimePoint answerFrom = m_terms.objective - m_times.expected(m_terms.answerService, answerTime, now);
    for (Piece &it : pieces) {
        it.refusable = m_terms.refusable && !m_plan.started();
        it.rank = m_terms.rank;
        it.deadline = m_terms.deadline;
        it.wantedBy = answerFrom;
        for (const std::string &service : m_plan.servicesAfter(it.stage)) {
            it.wantedBy -= expected(service);
        }
    }
    if (!pieces.empty()) {
        m_router.submit(m_wait, std::move(pieces));
    }
}

StageRun::End StageRun::take(const Piece &piece, const PieceResult &result)
{
    switch (result.end) {
    case PieceResult::End::Made:
        m_plan.made(piece.stage, piece.fragment, result.handle, result.dataCentre);
        return End::Complete;
    case PieceResult::End::InputsGone:
        m_router.release(m_plan.inputsGone(piece.stage, piece.fragment));
        return End::Complete;
    case PieceResult::End::Moved:
        m_plan.lost(piece.stage, piece.fragment);
        return End::Complete;
    case PieceResult::End::Taken:
        m_plan.taken(piece.stage, piece.fragment);
        return End::Complete;
    case PieceResult::End::Refused:
        return End::Refused;
    case PieceResult::End::Late:
        return End::Late;
    case PieceResult::End::Failed:
        break;
    }
    return End::Failed;
}

StageRun::End StageRun::takeAll(const std::vector<PieceWait::Arrived> &results)
{
    // Record every result in the plan even when the request ends here, so that all of them are freed.
    End end = m_cancellation.cause() ? End::Cancelled : End::Complete;
    for (const PieceWait::Arrived &it : results) {
        if (it.result.end == PieceResult::End::Made) {
            m_times.observe(it.piece.service, m_clock.now() - it.sent, m_clock.now());
        }
        const End taken = take(it.piece, it.result);
        if (end == End::Complete) {
            end = taken;
        }
    }
    return end;
}

Asio::awaitable<StageRun::End> StageRun::run()
{
    while (!m_plan.complete()) {
        submitReady();
        const Clock::TimePoint now = m_clock.now();
        if (now >= m_terms.deadline) {
            co_return End::Late;
        }
        const auto results = co_await m_wait->next(std::min(m_terms.deadline, now + ownerCheck));
        const End end = takeAll(results);
        if (end != End::Complete) {
            co_return end;
        }
        const StagePlan::Handles used = m_plan.takeUsed();
        if (!used.empty()) {
            m_router.release(used);
        }
        m_router.resubmitLost(m_wait);
    }
    co_return End::Complete;
}

const StagePlan &StageRun::plan() const
{
    return m_plan;
}

void StageRun::restart()
{
    abandon();
    m_router.release(m_plan.restart());
}

} // namespace Guavalock
