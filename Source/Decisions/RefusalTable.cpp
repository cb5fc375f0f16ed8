#include "Decisions/RefusalTable.h"

#include <algorithm>
#include <array>
#include <chrono>

namespace Guavalock
{

namespace
{

using std::chrono::milliseconds;

struct Row {
    RefusalCause cause;
    ResultCode notRun;
    ResultCode run;
    milliseconds retryAfter; ///< Zero when the same request is not worth repeating.
};

constexpr milliseconds never{0};
constexpr milliseconds soon{250};
constexpr milliseconds later{1'000};

constexpr std::array table = {
    Row{RefusalCause::Draining, ResultCode::Draining, ResultCode::Stopped, soon},
    Row{RefusalCause::Overloaded, ResultCode::Overloaded, ResultCode::StageUnavailable, later},
    Row{RefusalCause::DeadlineUnreachable, ResultCode::DeadlineUnreachable, ResultCode::DeadlineExceeded, later},
    Row{RefusalCause::NoTarget, ResultCode::NoTarget, ResultCode::StageUnavailable, later},
    Row{RefusalCause::DataCentreOut, ResultCode::DataCentreOut, ResultCode::StageUnavailable, later},
    Row{RefusalCause::StageFailed, ResultCode::StageFailed, ResultCode::StageFailed, later},
    Row{RefusalCause::AnswerInvalid, ResultCode::AnswerInvalid, ResultCode::AnswerInvalid, later},
    Row{RefusalCause::AnswerLost, ResultCode::StageFailed, ResultCode::StageFailed, later},
    Row{RefusalCause::CallerClosed, ResultCode::CallerClosed, ResultCode::Cancelled, never},
    Row{RefusalCause::Quarantined, ResultCode::Quarantined, ResultCode::Quarantined, never},
    Row{RefusalCause::StopTimeout, ResultCode::Draining, ResultCode::Stopped, soon},
    Row{RefusalCause::PeerUnreachable, ResultCode::PeerUnreachable, ResultCode::StageUnavailable, later},
    Row{RefusalCause::PipelineMissing, ResultCode::UnknownPipeline, ResultCode::UnknownPipeline, never},
};

const Row &rowOf(RefusalCause cause)
{
    return *std::ranges::find(table, cause, &Row::cause);
}

ResultCode codeOf(const Row &row, RunState run, bool idempotent)
{
    if (run == RunState::No) {
        return row.notRun;
    }
    if (run == RunState::Unknown && !idempotent) {
        return ResultCode::OutcomeUnknown;
    }
    return row.run;
}

} // namespace

Refusal RefusalTable::refusal(RefusalCause cause, RunState run, bool idempotent, std::string detail)
{
    const Row &row = rowOf(cause);
    Refusal refusal;
    refusal.code = codeOf(row, run, idempotent);
    refusal.run = run;
    refusal.reason = std::move(detail);
    const bool repeatable = run == RunState::No || idempotent;
    if (row.retryAfter > never && repeatable) {
        refusal.retryAfter = row.retryAfter;
    }
    return refusal;
}

} // namespace Guavalock
