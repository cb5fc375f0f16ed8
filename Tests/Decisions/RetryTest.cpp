#include "Decisions/Backoff.h"
#include "Decisions/RefusalTable.h"
#include "Decisions/RetryBudget.h"
#include "Decisions/RetryDecision.h"
#include "Decisions/RunStateTracker.h"

#include <cppunit/extensions/HelperMacros.h>

#include <array>

namespace Guavalock
{

class RetryTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RetryTest);
    CPPUNIT_TEST(unexecutedCallsAreAlwaysRetried);
    CPPUNIT_TEST(possiblyExecutedCallsAreRetriedOnlyIfIdempotent);
    CPPUNIT_TEST(attemptsAndBudgetLimitRetries);
    CPPUNIT_TEST(retryBudgetIsExhaustedWithoutSuccesses);
    CPPUNIT_TEST(runStateIsUnknownOnceAnAnswerIsLost);
    CPPUNIT_TEST(notRunCodesNeedProof);
    CPPUNIT_TEST(backoffGrowsWithinBounds);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::array allAttemptEnds
        = {StageAttemptOutcome::Answered, StageAttemptOutcome::Withdrawn, StageAttemptOutcome::NotSent,
           StageAttemptOutcome::Rejected, StageAttemptOutcome::Failed,    StageAttemptOutcome::Invalid,
           StageAttemptOutcome::Lost,     StageAttemptOutcome::TimedOut,  StageAttemptOutcome::Cancelled};

    static bool mayHaveRun(StageAttemptOutcome end)
    {
        return end != StageAttemptOutcome::NotSent && end != StageAttemptOutcome::Withdrawn && end != StageAttemptOutcome::Rejected;
    }

public:
    void unexecutedCallsAreAlwaysRetried()
    {
        CPPUNIT_ASSERT(RetryDecision::decide({StageAttemptOutcome::NotSent, false, 1, 3, true}).retry);
        CPPUNIT_ASSERT(RetryDecision::decide({StageAttemptOutcome::Rejected, false, 1, 3, true}).retry);
        CPPUNIT_ASSERT(RetryDecision::decide({StageAttemptOutcome::NotSent, true, 1, 3, false}).retry);
    }

    void possiblyExecutedCallsAreRetriedOnlyIfIdempotent()
    {
        for (const StageAttemptOutcome it : allAttemptEnds) {
            if (mayHaveRun(it)) {
                CPPUNIT_ASSERT(!RetryDecision::decide({it, false, 1, 3, true}).retry);
            }
        }
        CPPUNIT_ASSERT(RetryDecision::decide({StageAttemptOutcome::Lost, true, 1, 3, true}).retry);
        CPPUNIT_ASSERT(!RetryDecision::decide({StageAttemptOutcome::Cancelled, true, 1, 3, true}).retry);
    }

    void attemptsAndBudgetLimitRetries()
    {
        CPPUNIT_ASSERT(!RetryDecision::decide({StageAttemptOutcome::NotSent, true, 3, 3, true}).retry);
        CPPUNIT_ASSERT(!RetryDecision::decide({StageAttemptOutcome::Lost, true, 1, 3, false}).retry);
    }

    void retryBudgetIsExhaustedWithoutSuccesses()
    {
        RetryBudget budget;
        std::size_t retries = 0;
        for (std::size_t it = 0; it < 1'000; ++it) {
            if (budget.hasToken()) {
                budget.takeToken();
                ++retries;
            }
        }
        CPPUNIT_ASSERT(retries < 100);
        for (std::size_t it = 0; it < 10; ++it) {
            budget.recordSuccess();
        }
        CPPUNIT_ASSERT(budget.hasToken());
    }

    void runStateIsUnknownOnceAnAnswerIsLost()
    {
        RunStateTracker tracker;
        CPPUNIT_ASSERT(tracker.state() == RunState::No);
        tracker.recordAttempt(StageAttemptOutcome::NotSent);
        tracker.recordAttempt(StageAttemptOutcome::Rejected);
        CPPUNIT_ASSERT(tracker.state() == RunState::No);
        tracker.recordAttempt(StageAttemptOutcome::Failed);
        CPPUNIT_ASSERT(tracker.state() == RunState::Yes);
        tracker.recordAttempt(StageAttemptOutcome::TimedOut);
        tracker.recordAttempt(StageAttemptOutcome::Answered);
        CPPUNIT_ASSERT(tracker.state() == RunState::Unknown);
    }

    void notRunCodesNeedProof()
    {
        for (int cause = 0; cause <= static_cast<int>(RefusalCause::PipelineMissing); ++cause) {
            for (const RunState run : {RunState::No, RunState::Yes, RunState::Unknown}) {
                for (const bool idempotent : {false, true}) {
                    const Refusal refusal = RefusalTable::refusalFor(static_cast<RefusalCause>(cause), run, idempotent, "");
                    const bool isNotRunCode = resultNumber(refusal.code) / 100 == 2;
                    CPPUNIT_ASSERT(!isNotRunCode || run == RunState::No);
                    CPPUNIT_ASSERT(refusal.run == run);
                    const bool hasRetryAfter = refusal.retryAfter.has_value();
                    CPPUNIT_ASSERT(!hasRetryAfter || run == RunState::No || idempotent);
                }
            }
        }
    }

    void backoffGrowsWithinBounds()
    {
        using std::chrono::milliseconds;
        RandomEngine random(1);
        Backoff backoff(milliseconds(10), milliseconds(100));
        milliseconds longest{0};
        for (int it = 0; it < 20; ++it) {
            const milliseconds wait = backoff.next(random);
            CPPUNIT_ASSERT(wait >= milliseconds(5) && wait <= milliseconds(100));
            longest = std::max(longest, wait);
        }
        CPPUNIT_ASSERT(longest > milliseconds(50));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RetryTest);

} // namespace Guavalock
