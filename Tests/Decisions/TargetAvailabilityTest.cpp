#include "Decisions/TargetAvailability.h"
#include "Decisions/AvailabilityStatement.h"

#include <cppunit/extensions/HelperMacros.h>

namespace Guavalock
{

using std::chrono::milliseconds;

class TargetAvailabilityTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TargetAvailabilityTest);
    CPPUNIT_TEST(leavingLastsUntilARestart);
    CPPUNIT_TEST(statementsOfOtherIncarnationsHaveNoEffect);
    CPPUNIT_TEST(theLongestPauseCounts);
    CPPUNIT_TEST_SUITE_END();

    using State = TargetAvailability::State;

    Clock::TimePoint m_now{std::chrono::seconds(100)};

public:
    void leavingLastsUntilARestart()
    {
        TargetAvailability target(milliseconds(5));
        CPPUNIT_ASSERT(target.state(m_now) == State::Available);
        CPPUNIT_ASSERT(target.apply({true, milliseconds(10)}, milliseconds(5), m_now));
        CPPUNIT_ASSERT(!target.apply({true, std::nullopt}, milliseconds(5), m_now + milliseconds(20)));
        CPPUNIT_ASSERT(!target.apply({false, std::nullopt}, milliseconds(5), m_now + milliseconds(20)));
        target.setStartTime(milliseconds(5));
        target.setStartTime(milliseconds(4));
        CPPUNIT_ASSERT(target.state(m_now + std::chrono::hours(24)) == State::Leaving);
        CPPUNIT_ASSERT(!target.remainingPause(m_now));
        target.setStartTime(milliseconds(6));
        CPPUNIT_ASSERT(target.state(m_now) == State::Available);
    }

    void statementsOfOtherIncarnationsHaveNoEffect()
    {
        TargetAvailability target(milliseconds(5));
        target.setStartTime(milliseconds(6));
        CPPUNIT_ASSERT(!target.apply({true, milliseconds(900)}, milliseconds(5), m_now));
        CPPUNIT_ASSERT(target.state(m_now) == State::Available);
        CPPUNIT_ASSERT(target.apply({true, std::nullopt}, milliseconds(6), m_now));
        CPPUNIT_ASSERT(target.state(m_now) == State::Leaving);
    }

    void theLongestPauseCounts()
    {
        TargetAvailability target(milliseconds(5));
        CPPUNIT_ASSERT(!target.apply({false, milliseconds(0)}, milliseconds(5), m_now));
        CPPUNIT_ASSERT(target.apply({false, milliseconds(900)}, milliseconds(5), m_now));
        CPPUNIT_ASSERT(!target.apply({false, milliseconds(300)}, milliseconds(5), m_now + milliseconds(100)));
        CPPUNIT_ASSERT(!target.apply({}, milliseconds(5), m_now + milliseconds(100)));
        CPPUNIT_ASSERT(target.remainingPause(m_now + milliseconds(100)) == milliseconds(800));
        CPPUNIT_ASSERT(target.apply({false, milliseconds(900)}, milliseconds(5), m_now + milliseconds(100)));
        CPPUNIT_ASSERT(target.state(m_now + milliseconds(999)) == State::Paused);
        CPPUNIT_ASSERT(target.state(m_now + milliseconds(1'000)) == State::Available);
        CPPUNIT_ASSERT(!target.remainingPause(m_now + milliseconds(1'000)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TargetAvailabilityTest);

} // namespace Guavalock
