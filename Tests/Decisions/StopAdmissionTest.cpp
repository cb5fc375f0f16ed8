#include "Decisions/StopAdmission.h"
#include "Decisions/DurationEstimate.h"
#include "Decisions/StopPlan.h"
#include "Decisions/StopVerdict.h"

#include <cppunit/extensions/HelperMacros.h>

namespace Guavalock
{

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Tests which requests a stopping daemon accepts.
class StopAdmissionTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(StopAdmissionTest);
    CPPUNIT_TEST(requestsThatTimeOutBeforeTheEndAreAccepted);
    CPPUNIT_TEST(longRequestsAreAcceptedOnlyWithAKnownDuration);
    CPPUNIT_TEST(estimatesCountOnlyWhileRequestsAreRouted);
    CPPUNIT_TEST(requestsThatWaitedTooLongAreRefused);
    CPPUNIT_TEST(upperBoundCoversAlmostAllDurations);
    CPPUNIT_TEST_SUITE_END();

    const StopPlan m_plan{Clock::TimePoint(seconds(92)), Clock::TimePoint(seconds(94)), Clock::TimePoint(seconds(100))};

    /// Decides on a request at its receipt.
    StopVerdict decide(Clock::Duration timeout, std::optional<Clock::Duration> expected, Clock::TimePoint receivedAt) const
    {
        return StopAdmission::decide(m_plan, {receivedAt, receivedAt + timeout, expected}, receivedAt);
    }

public:
    void requestsThatTimeOutBeforeTheEndAreAccepted()
    {
        CPPUNIT_ASSERT(decide(seconds(2), std::nullopt, m_plan.end - seconds(2)) == StopVerdict::CertainToEnd);
        CPPUNIT_ASSERT(decide(seconds(2), seconds(9), m_plan.end - seconds(2)) == StopVerdict::CertainToEnd);
        CPPUNIT_ASSERT(decide(seconds(2), std::nullopt, m_plan.end - milliseconds(1'999)) == StopVerdict::Refused);
    }

    void longRequestsAreAcceptedOnlyWithAKnownDuration()
    {
        CPPUNIT_ASSERT(decide(seconds(20), std::nullopt, m_plan.begin) == StopVerdict::Refused);
        CPPUNIT_ASSERT(decide(seconds(20), seconds(5), m_plan.begin) == StopVerdict::ExpectedToEnd);
        CPPUNIT_ASSERT(decide(seconds(20), seconds(5), m_plan.end - seconds(7)) == StopVerdict::ExpectedToEnd);
        CPPUNIT_ASSERT(decide(seconds(20), seconds(5), m_plan.end - seconds(4)) == StopVerdict::Refused);
        CPPUNIT_ASSERT(decide(seconds(20), seconds(9), m_plan.begin) == StopVerdict::Refused);
        CPPUNIT_ASSERT(decide(seconds(20), seconds(7), m_plan.begin + milliseconds(1'001)) == StopVerdict::Refused);
    }

    void estimatesCountOnlyWhileRequestsAreRouted()
    {
        CPPUNIT_ASSERT(decide(seconds(20), seconds(1), m_plan.routedUntil - milliseconds(1)) == StopVerdict::ExpectedToEnd);
        CPPUNIT_ASSERT(decide(seconds(20), seconds(1), m_plan.routedUntil) == StopVerdict::Refused);
        CPPUNIT_ASSERT(decide(seconds(1), seconds(1), m_plan.routedUntil) == StopVerdict::CertainToEnd);
    }

    void requestsThatWaitedTooLongAreRefused()
    {
        const StopAdmission::Request request{m_plan.begin, m_plan.begin + seconds(20), seconds(3)};
        CPPUNIT_ASSERT(StopAdmission::decide(m_plan, request, m_plan.end - seconds(3)) == StopVerdict::ExpectedToEnd);
        CPPUNIT_ASSERT(StopAdmission::decide(m_plan, request, m_plan.end - milliseconds(2'999)) == StopVerdict::Refused);
    }

    /// Durations between 1 and 3 s, as of streams of different lengths.
    void upperBoundCoversAlmostAllDurations()
    {
        DurationEstimate estimate;
        CPPUNIT_ASSERT(estimate.upperBound() == DurationEstimate::Duration::zero());
        std::size_t above = 0;
        constexpr std::size_t n = 1'000;
        for (std::size_t it = 0; it < n; ++it) {
            const milliseconds duration(1'000 + it * 7'919 % 2'000);
            above += it > 0 && duration > estimate.upperBound() ? 1 : 0;
            estimate.observe(duration);
        }
        CPPUNIT_ASSERT(above <= n / 100);
        CPPUNIT_ASSERT(estimate.upperBound() < seconds(6));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StopAdmissionTest);

} // namespace Guavalock
