#include "Relay/ClientPatience.h"
#include "Fleet/RouteRecord.h"

#include <cppunit/extensions/HelperMacros.h>

namespace Guavalock
{

using std::chrono::milliseconds;

/// Tests when a stream counts as stalled.
class ClientPatienceTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ClientPatienceTest);
    CPPUNIT_TEST(clientsWaitForTheLongestOfThreeTimes);
    CPPUNIT_TEST(resumableStreamsAreGivenUpInTime);
    CPPUNIT_TEST_SUITE_END();

    static RouteRecord makeRoute(milliseconds objective, milliseconds gap, bool resumable = false)
    {
        RouteRecord route;
        route.latencyObjective = objective;
        route.eventGapObjective = gap;
        route.resumable = resumable;
        return route;
    }

public:
    void clientsWaitForTheLongestOfThreeTimes()
    {
        CPPUNIT_ASSERT(ClientPatience::idleTimeout(makeRoute(milliseconds(100), milliseconds(100))) == milliseconds(2'000));
        CPPUNIT_ASSERT(ClientPatience::idleTimeout(makeRoute(milliseconds(1'100), milliseconds(300))) == milliseconds(4'400));
        CPPUNIT_ASSERT(ClientPatience::idleTimeout(makeRoute(milliseconds(100), milliseconds(400))) == milliseconds(3'200));
    }

    void resumableStreamsAreGivenUpInTime()
    {
        const RouteRecord resumable = makeRoute(milliseconds(1'000), milliseconds(300), true);
        CPPUNIT_ASSERT(ClientPatience::eventTimeout(resumable) == milliseconds(3'000));
        const RouteRecord other = makeRoute(milliseconds(1'000), milliseconds(300));
        CPPUNIT_ASSERT(ClientPatience::eventTimeout(other) > ClientPatience::idleTimeout(other));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ClientPatienceTest);

} // namespace Guavalock
