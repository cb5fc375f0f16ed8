#include "Relay/RouteDurations.h"

#include <cppunit/extensions/HelperMacros.h>

namespace Guavalock
{

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Tests the estimates of how long requests take.
class RouteDurationsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RouteDurationsTest);
    CPPUNIT_TEST(spansAreSeparate);
    CPPUNIT_TEST(requestsInProgressRaiseTheBound);
    CPPUNIT_TEST(incompleteResponsesNeverLowerTheBound);
    CPPUNIT_TEST_SUITE_END();

    using Span = RouteDurations::Span;

    static constexpr Clock::TimePoint start{seconds(100)};

    static void observe(RouteDurations &durations, Span span, Clock::Duration duration, bool complete)
    {
        durations.begin("r", span, start);
        durations.end("r", span, start, start + duration, complete);
    }

public:
    void spansAreSeparate()
    {
        RouteDurations durations;
        CPPUNIT_ASSERT(!durations.upperBound("r", Span::Request, start));
        for (int n = 0; n < 20; ++n) {
            observe(durations, Span::Request, seconds(4), true);
            observe(durations, Span::Run, seconds(1), true);
        }
        CPPUNIT_ASSERT(durations.upperBound("r", Span::Request, start) >= seconds(4));
        CPPUNIT_ASSERT(durations.upperBound("r", Span::Run, start) < seconds(2));
        CPPUNIT_ASSERT(!durations.upperBound("other", Span::Run, start));
    }

    void requestsInProgressRaiseTheBound()
    {
        RouteDurations durations;
        for (int n = 0; n < 20; ++n) {
            observe(durations, Span::Run, milliseconds(100), true);
        }
        durations.begin("r", Span::Run, start);
        durations.begin("r", Span::Run, start + seconds(2));
        CPPUNIT_ASSERT(durations.upperBound("r", Span::Run, start + seconds(3)) == seconds(3));
        durations.end("r", Span::Run, start, start + seconds(3), false);
        durations.end("r", Span::Run, start + seconds(2), start + seconds(3), false);
        CPPUNIT_ASSERT(durations.upperBound("r", Span::Run, start + seconds(3)) > seconds(1));
    }

    void incompleteResponsesNeverLowerTheBound()
    {
        RouteDurations durations;
        observe(durations, Span::Run, milliseconds(1), false);
        CPPUNIT_ASSERT(!durations.upperBound("r", Span::Run, start));
        observe(durations, Span::Run, seconds(2), true);
        const auto bound = durations.upperBound("r", Span::Run, start);
        for (int n = 0; n < 20; ++n) {
            observe(durations, Span::Run, milliseconds(1), false);
        }
        CPPUNIT_ASSERT(durations.upperBound("r", Span::Run, start) == bound);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RouteDurationsTest);

} // namespace Guavalock
