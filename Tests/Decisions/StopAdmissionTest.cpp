#include "Decisions/StopAdmission.h"
#include "Decisions/DurationEstimate.h"

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
    CPPUNIT_TEST(upperBoundCoversAlmostAllDurations);
    CPPUNIT_TEST_SUITE_END();

    const Clock::TimePoint m_end{seconds(100)};

public:
    void requestsThatTimeOutBeforeTheEndAreAccepted()
    {
        CPPUNIT_ASSERT(StopAdmission::accepts(seconds(2), std::nullopt, m_end, m_end - seconds(2)));
        CPPUNIT_ASSERT(StopAdmission::accepts(seconds(2), seconds(9), m_end, m_end - seconds(2)));
        CPPUNIT_ASSERT(!StopAdmission::accepts(seconds(2), std::nullopt, m_end, m_end - milliseconds(1'999)));
    }

    void longRequestsAreAcceptedOnlyWithAKnownDuration()
    {
        CPPUNIT_ASSERT(!StopAdmission::accepts(seconds(20), std::nullopt, m_end, m_end - seconds(7)));
        CPPUNIT_ASSERT(StopAdmission::accepts(seconds(20), seconds(5), m_end, m_end - seconds(7)));
        CPPUNIT_ASSERT(!StopAdmission::accepts(seconds(20), seconds(5), m_end, m_end - seconds(4)));
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
