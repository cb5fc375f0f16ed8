#include "Batching/StageRun.h"

#include "Batching/PieceRouter.h"
#include "Batching/StageTimes.h"

#include <algorithm>

namespace Guavalock
{

namespace Asio = boost::asio;

namespace
{

constexpr std::chrono::milliseconds ownerCheckInterval{300}; ///< Interval of the checks that the owners of outstanding pieces are alive.

} // namespace

StageRun::StageRun(PieceRouter &router, StageTimes &times, const Clock &clock, StagePlan plan, Parameters parameters,
                   Cancellation &cancellation, std::string requestId)
    : m_router(router)
    , m_times(times)
    , m_clock(clock)
    , m_plan(std::move(plan))
    , m_parameters(std::move(parameters))
    , m_cancellation(cancellation)
    , m_requestId(std::move(requestId))
    , m_pending(std::make_shared<PendingPieces>(cancellation, [&router](const std::string &owner, std::vector<std::string> handles) {
        router.freeAt(owner, std::move(handles));
    }))
{
}

StageRun::~StageRun()
{
    abandon();
    m_router.free(m_plan.allHandles());
}

void StageRun::abandon()
{
    m_router.abandon(m_pending, m_requestId);
    StagePlan::Handles unused;
    for (const PendingPieces::Delivery &it : m_pending->takeDelivered()) {
        if (!it.result.handle.empty()) {
            unused[it.piece.service].push_back(it.result.handle);
        }
    }
    m_router.free(unused);
}

void StageRun::submitReady()
{
    const Clock::TimePoint now = m_clock.now();
    const auto expected = [&](const std::string &service) {
        return m_times.expectedStage(service, m_parameters.rank, StageTimes::typicalStageTime, now);
    };
    std::vector<Piece> pieces = m_plan.takeReady(expected);
    const Clock::TimePoint answerStart
        = m_parameters.objectiveDeadline - m_times.expected(m_parameters.answerService, StageTimes::typicalAnswerDelay, now);
    for (Piece &it : pieces) {
        it.refusable = m_parameters.noOutputSent && !m_submitted && !m_parameters.admittedServices.contains(it.service);
        it.rank = m_parameters.rank;
        it.deadline = m_parameters.deadline - m_parameters.shortestCall(it.service);
        it.softDeadline = answerStart;
        for (const std::string &service : m_plan.servicesAfter(it.stage)) {
            it.softDeadline -= expected(service);
            it.deadline -= m_parameters.shortestCall(service);
        }
    }
    if (!pieces.empty()) {
        m_submitted = true;
        m_router.submit(m_pending, std::move(pieces));
    }
}

StageRun::Outcome StageRun::apply(const Piece &piece, const PieceResult &result)
{
    switch (result.outcome) {
    case PieceResult::Outcome::Completed:
        m_plan.markCompleted(piece.stage, piece.index, result.handle, result.dataCentre);
        return Outcome::Complete;
    case PieceResult::Outcome::InputsMissing:
        m_router.free(m_plan.invalidateInputs(piece.stage, piece.index));
        return Outcome::Complete;
    case PieceResult::Outcome::OwnerChanged:
        m_plan.resetPiece(piece.stage, piece.index);
        return Outcome::Complete;
    case PieceResult::Outcome::InputsRead:
        m_plan.markInputsRead(piece.stage, piece.index);
        return Outcome::Complete;
    case PieceResult::Outcome::Refused:
        return Outcome::Refused;
    case PieceResult::Outcome::DeadlineExceeded:
        return Outcome::DeadlineExceeded;
    case PieceResult::Outcome::Failed:
        break;
    }
    return Outcome::Failed;
}

StageRun::Outcome StageRun::applyAll(const std::vector<PendingPieces::Delivery> &results)
{
    // Record every result in the plan even when one of them ends the request, so that all of them are freed.
    Outcome requestOutcome = m_cancellation.cause() ? Outcome::Cancelled : Outcome::Complete;
    for (const PendingPieces::Delivery &it : results) {
        if (it.result.outcome == PieceResult::Outcome::Completed) {
            m_times.observe(it.piece.service, m_clock.now() - it.lastSent, m_clock.now());
        }
        const Outcome pieceOutcome = apply(it.piece, it.result);
        if (requestOutcome == Outcome::Complete) {
            requestOutcome = pieceOutcome;
        }
    }
    return requestOutcome;
}

Asio::awaitable<StageRun::Outcome> StageRun::run()
{
    const Outcome outcome = co_await runToEnd();
    if (outcome != Outcome::Complete) {
        // The caller may take long to receive its refusal; the targets must not work for the request meanwhile.
        abandon();
        m_router.free(m_plan.restart());
    }
    co_return outcome;
}

Asio::awaitable<StageRun::Outcome> StageRun::runToEnd()
{
    while (!m_plan.complete()) {
        submitReady();
        const Clock::TimePoint now = m_clock.now();
        if (now >= m_parameters.deadline) {
            co_return Outcome::DeadlineExceeded;
        }
        const auto results = co_await m_pending->next(std::min(m_parameters.deadline, now + ownerCheckInterval));
        const Outcome requestOutcome = applyAll(results);
        if (requestOutcome != Outcome::Complete) {
            co_return requestOutcome;
        }
        const StagePlan::Handles consumed = m_plan.takeConsumed();
        if (!consumed.empty()) {
            m_router.free(consumed);
        }
        m_router.resubmitLost(m_pending);
    }
    co_return Outcome::Complete;
}

const StagePlan &StageRun::plan() const
{
    return m_plan;
}

void StageRun::restart()
{
    abandon();
    m_router.free(m_plan.restart());
}

} // namespace Guavalock
