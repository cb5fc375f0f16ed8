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
    milliseconds retryAfter; ///< Zero when repeating the same request cannot succeed.
};

constexpr milliseconds noRetry{0};
constexpr milliseconds shortDelay{250};
constexpr milliseconds longDelay{1'000};

constexpr std::array table = {
    Row{RefusalCause::Draining, ResultCode::Draining, ResultCode::Stopped, shortDelay},
    Row{RefusalCause::Overloaded, ResultCode::Overloaded, ResultCode::StageUnavailable, longDelay},
    Row{RefusalCause::DeadlineUnreachable, ResultCode::DeadlineUnreachable, ResultCode::DeadlineExceeded, longDelay},
    Row{RefusalCause::NoTarget, ResultCode::NoTarget, ResultCode::StageUnavailable, longDelay},
    Row{RefusalCause::DataCentreOut, ResultCode::DataCentreOut, ResultCode::StageUnavailable, longDelay},
    Row{RefusalCause::StageFailed, ResultCode::StageFailed, ResultCode::StageFailed, longDelay},
    Row{RefusalCause::AnswerInvalid, ResultCode::AnswerInvalid, ResultCode::AnswerInvalid, longDelay},
    Row{RefusalCause::AnswerLost, ResultCode::StageFailed, ResultCode::StageFailed, longDelay},
    Row{RefusalCause::CallerClosed, ResultCode::CallerClosed, ResultCode::Cancelled, noRetry},
    Row{RefusalCause::Quarantined, ResultCode::Quarantined, ResultCode::Quarantined, noRetry},
    Row{RefusalCause::StopTimeout, ResultCode::Draining, ResultCode::Stopped, shortDelay},
    Row{RefusalCause::PeerUnreachable, ResultCode::PeerUnreachable, ResultCode::StageUnavailable, longDelay},
    Row{RefusalCause::PipelineMissing, ResultCode::UnknownPipeline, ResultCode::UnknownPipeline, noRetry},
};

const Row &findRow(RefusalCause cause)
{
    return *std::ranges::find(table, cause, &Row::cause);
}

ResultCode resultCode(const Row &row, RunState run, bool idempotent)
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

Refusal RefusalTable::refusalFor(RefusalCause cause, RunState run, bool idempotent, std::string detail)
{
    const Row &row = findRow(cause);
    Refusal refusal;
    refusal.code = resultCode(row, run, idempotent);
    refusal.run = run;
    refusal.reason = std::move(detail);
    const bool retryable = run == RunState::No || idempotent;
    if (row.retryAfter > noRetry && retryable) {
        refusal.retryAfter = row.retryAfter;
    }
    return refusal;
}

} // namespace Guavalock
