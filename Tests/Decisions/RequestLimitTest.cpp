#include "Decisions/RequestLimit.h"
#include "Decisions/WaitingTurns.h"
#include "Fleet/LimitDivision.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <cmath>
#include <random>

namespace Guavalock
{

using std::chrono::milliseconds;

class RequestLimitTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RequestLimitTest);
    CPPUNIT_TEST(nothingIsSentWithoutAShare);
    CPPUNIT_TEST(unusedCreditDoesNotPileUp);
    CPPUNIT_TEST(lateResponsesDoNotRaiseALimit);
    CPPUNIT_TEST(newerStatementsOfOthersCount);
    CPPUNIT_TEST(smallChangesAreNoNews);
    CPPUNIT_TEST(sharesAddUpToTheLimit);
    CPPUNIT_TEST(sendersTogetherStayWithinTheUsersRule);
    CPPUNIT_TEST(urgentRequestsComeFirst);
    CPPUNIT_TEST_SUITE_END();

    static constexpr double unlimited = AvailabilityStatement::unlimited;

    Clock::TimePoint m_now{std::chrono::seconds(100)};

    static std::vector<std::string> makeMembers(std::size_t count)
    {
        std::vector<std::string> members;
        for (std::size_t it = 0; it < count; ++it) {
            members.push_back("vm" + std::to_string(it));
        }
        return members;
    }

    /// Sends as often as the limits allow for a time and returns the largest number of requests within any window.
    std::size_t mostRequests(std::vector<RequestLimit> &senders, milliseconds duration, milliseconds window, unsigned seed)
    {
        std::mt19937 random(seed);
        std::vector<Clock::TimePoint> sent;
        for (const Clock::TimePoint end = m_now + duration; m_now < end; m_now += milliseconds(random() % 300)) {
            for (RequestLimit &it : senders) {
                while (it.timeUntilAllowed(m_now) == Clock::Duration::zero()) {
                    it.recordRequest(m_now);
                    sent.push_back(m_now);
                }
            }
        }
        std::size_t most = 0;
        for (auto it = sent.begin(); it != sent.end(); ++it) {
            most = std::max(most, static_cast<std::size_t>(std::lower_bound(it, sent.end(), *it + window) - it));
        }
        return most;
    }

public:
    void nothingIsSentWithoutAShare()
    {
        RequestLimit limit;
        CPPUNIT_ASSERT(limit.timeUntilAllowed(m_now) == Clock::Duration::zero());
        CPPUNIT_ASSERT(limit.apply(2, m_now, m_now));
        CPPUNIT_ASSERT(limit.timeUntilAllowed(m_now) == Clock::Duration::max());
        limit.setShare({0.5, 1}, m_now);
        CPPUNIT_ASSERT(limit.timeUntilAllowed(m_now) == milliseconds(1'000));
        CPPUNIT_ASSERT(limit.timeUntilAllowed(m_now + milliseconds(1'000)) == Clock::Duration::zero());
        CPPUNIT_ASSERT(limit.apply(unlimited, m_now, m_now));
        CPPUNIT_ASSERT(limit.timeUntilAllowed(m_now) == Clock::Duration::zero());
    }

    void unusedCreditDoesNotPileUp()
    {
        RequestLimit limit;
        limit.apply(4, m_now, m_now);
        limit.setShare({1, 2.5}, m_now);
        m_now += std::chrono::hours(1);
        int n = 0;
        for (; limit.timeUntilAllowed(m_now) == Clock::Duration::zero(); ++n) {
            limit.recordRequest(m_now);
        }
        CPPUNIT_ASSERT_EQUAL(2, n);
    }

    void lateResponsesDoNotRaiseALimit()
    {
        RequestLimit limit;
        CPPUNIT_ASSERT(limit.apply(2, m_now, m_now + milliseconds(50)));
        CPPUNIT_ASSERT(!limit.apply(8, m_now + milliseconds(10), m_now + milliseconds(60)));
        CPPUNIT_ASSERT(!limit.apply(unlimited, m_now + milliseconds(10), m_now + milliseconds(60)));
        CPPUNIT_ASSERT(limit.apply(1, m_now + milliseconds(10), m_now + milliseconds(60)));
        CPPUNIT_ASSERT_EQUAL(1.0, limit.requestsPerSecond());
        CPPUNIT_ASSERT(limit.apply(unlimited, m_now + milliseconds(60), m_now + milliseconds(90)));
    }

    void newerStatementsOfOthersCount()
    {
        RequestLimit limit;
        CPPUNIT_ASSERT(limit.merge(2, m_now, m_now + milliseconds(20)));
        CPPUNIT_ASSERT(!limit.merge(2, m_now + milliseconds(5), m_now + milliseconds(20)));
        CPPUNIT_ASSERT(!limit.merge(unlimited, m_now - milliseconds(5), m_now + milliseconds(20)));
        CPPUNIT_ASSERT(limit.merge(unlimited, m_now + milliseconds(5), m_now + milliseconds(20)));
        CPPUNIT_ASSERT(!limit.isLimited() && limit.wasLimited());
    }

    void smallChangesAreNoNews()
    {
        RequestLimit limit;
        CPPUNIT_ASSERT(!limit.takeNews());
        limit.apply(2, m_now, m_now);
        CPPUNIT_ASSERT(limit.takeNews());
        CPPUNIT_ASSERT(!limit.takeNews());
        limit.apply(2.1, m_now, m_now);
        CPPUNIT_ASSERT(!limit.takeNews());
        limit.apply(2.3, m_now, m_now);
        CPPUNIT_ASSERT(limit.takeNews());
        limit.apply(0, m_now, m_now);
        CPPUNIT_ASSERT(limit.takeNews());
        limit.apply(unlimited, m_now, m_now);
        CPPUNIT_ASSERT(limit.takeNews());
    }

    void sharesAddUpToTheLimit()
    {
        for (const std::size_t count : {1U, 8U, 61U, 295U}) {
            const std::vector<std::string> members = makeMembers(count);
            for (const double limit : {0.0, 0.3, 1.2, 7.7, 400.0}) {
                double sum = 0;
                for (const std::string &it : members) {
                    sum += LimitDivision::share(it, "t1", limit, members).fraction;
                }
                CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, sum, 1e-9);
            }
        }
        CPPUNIT_ASSERT(LimitDivision::share("vm0", "t1", 5, {}) == LimitShare());
    }

    /// With one sender too many, as when the views of the members differ, unless all members are senders.
    void sendersTogetherStayWithinTheUsersRule()
    {
        for (const std::size_t members : {1U, 2U, 3U, 8U, 61U, 295U}) {
            for (const double limit : {0.0, 0.1, 0.4, 0.6, 1.0, 1.2, 3.0, 7.7, 20.0, 100.0}) {
                const std::vector<std::string> names = makeMembers(members);
                const std::size_t count = LimitDivision::senders(limit, members);
                std::vector<RequestLimit> senders(std::min(count + 1, members));
                const auto sender = std::ranges::find_if(
                    names, [&](const std::string &it) { return LimitDivision::share(it, "t1", limit, names).fraction > 0; });
                for (RequestLimit &it : senders) {
                    it.apply(limit, m_now, m_now);
                    it.setShare(LimitDivision::share(*sender, "t1", limit, names), m_now);
                }
                const std::size_t most = mostRequests(senders, milliseconds(60'000), milliseconds(4'000), 7);
                const double allowed = 1.5 * 4 * limit + 5;
                CPPUNIT_ASSERT_MESSAGE(std::to_string(limit) + " a second: " + std::to_string(most), static_cast<double>(most) <= allowed);
            }
        }
    }

    void urgentRequestsComeFirst()
    {
        WaitingTurns turns;
        turns.join("a", 2);
        turns.join("b", 1);
        turns.join("c", 2);
        turns.join("a", 2);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), turns.ahead("b", 1));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), turns.ahead("a", 2));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), turns.ahead("c", 2));
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), turns.ahead("d", 2));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), turns.ahead("e", 0));
        turns.leave("b");
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), turns.ahead("a", 2));
        turns.leave("a");
        turns.leave("c");
        CPPUNIT_ASSERT(turns.empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestLimitTest);

} // namespace Guavalock
