#include "Decisions/Admission.h"
#include "Decisions/BurnWindow.h"
#include "Decisions/DeadlineBudget.h"
#include "Decisions/DurationEstimate.h"
#include "Decisions/GenerationProgress.h"
#include "Decisions/RandomEngine.h"
#include "Decisions/SlotQueue.h"

#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <map>

namespace Guavalock
{

using std::chrono::milliseconds;
using std::chrono::seconds;

class QueueTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(QueueTest);
    CPPUNIT_TEST(smallOrganisationIsNotStarved);
    CPPUNIT_TEST(serviceIsProportionalToWeight);
    CPPUNIT_TEST(idleTimeEarnsNoCredit);
    CPPUNIT_TEST(urgentThenEarliestDeadlineIsNext);
    CPPUNIT_TEST(withdrawnEntriesAreRemoved);
    CPPUNIT_TEST(deadlineLeavesTimeForLaterStages);
    CPPUNIT_TEST(admissionReturnsTheReason);
    CPPUNIT_TEST(generationDropsDuplicatesAndDetectsGaps);
    CPPUNIT_TEST(burnWindowDropsOldBuckets);
    CPPUNIT_TEST(lowPercentileIsBelowTheMean);
    CPPUNIT_TEST_SUITE_END();

    Clock::TimePoint m_now{seconds(1'000'000)};
    SlotQueue::Ticket m_ticket = 0;

    void push(SlotQueue &queue, const std::string &organisation, std::size_t weight = 1, bool urgent = false,
              milliseconds deadline = seconds(1))
    {
        StageRequirements requirements;
        requirements.organisation = organisation;
        requirements.weight = weight;
        requirements.urgent = urgent;
        requirements.deadline = m_now + deadline;
        queue.push({++m_ticket, requirements});
    }

    std::string serveNext(SlotQueue &queue)
    {
        const SlotQueue::Entry entry = *queue.next();
        queue.markServed(entry.ticket);
        return entry.requirements.organisation;
    }

public:
    void smallOrganisationIsNotStarved()
    {
        SlotQueue queue;
        for (int it = 0; it < 1'000; ++it) {
            push(queue, "large");
        }
        push(queue, "small");
        std::size_t turns = 1;
        while (serveNext(queue) != "small") {
            ++turns;
        }
        CPPUNIT_ASSERT(turns <= 2);
    }

    void serviceIsProportionalToWeight()
    {
        SlotQueue queue;
        for (int it = 0; it < 300; ++it) {
            push(queue, "heavy", 3);
            push(queue, "light", 1);
        }
        std::map<std::string, int> served;
        for (int it = 0; it < 200; ++it) {
            ++served[serveNext(queue)];
        }
        CPPUNIT_ASSERT(served["heavy"] >= 148 && served["heavy"] <= 152);
    }

    void idleTimeEarnsNoCredit()
    {
        SlotQueue queue;
        for (int it = 0; it < 100; ++it) {
            push(queue, "busy");
        }
        for (int it = 0; it < 50; ++it) {
            serveNext(queue);
        }
        for (int it = 0; it < 50; ++it) {
            push(queue, "late");
        }
        std::map<std::string, int> served;
        for (int it = 0; it < 20; ++it) {
            ++served[serveNext(queue)];
        }
        CPPUNIT_ASSERT(served["busy"] >= 9);
    }

    void urgentThenEarliestDeadlineIsNext()
    {
        SlotQueue queue;
        push(queue, "a", 1, false, milliseconds(10));
        push(queue, "a", 1, true, milliseconds(500));
        push(queue, "a", 1, true, milliseconds(100));
        CPPUNIT_ASSERT_EQUAL(SlotQueue::Ticket(3), queue.next()->ticket);
        queue.markServed(3);
        CPPUNIT_ASSERT_EQUAL(SlotQueue::Ticket(2), queue.next()->ticket);
    }

    void withdrawnEntriesAreRemoved()
    {
        SlotQueue queue;
        push(queue, "a");
        CPPUNIT_ASSERT(queue.withdraw(1));
        CPPUNIT_ASSERT(!queue.withdraw(1));
        CPPUNIT_ASSERT(queue.next() == nullptr);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), queue.size());
    }

    void deadlineLeavesTimeForLaterStages()
    {
        const std::array<DeadlineBudget::Stage, 2> stages = {{{seconds(5), milliseconds(10)}, {seconds(5), milliseconds(300)}}};
        const Clock::TimePoint deadline = m_now + seconds(1);
        CPPUNIT_ASSERT(DeadlineBudget::stageDeadline(stages, m_now, deadline) == m_now + milliseconds(700));
        CPPUNIT_ASSERT(DeadlineBudget::reachable(stages, m_now, deadline));
        CPPUNIT_ASSERT(!DeadlineBudget::reachable(stages, m_now + milliseconds(700), deadline));
    }

    void admissionReturnsTheReason()
    {
        CPPUNIT_ASSERT(Admission::decide({false, 0, 1, 0, 1}) == ResultCode::Ok);
        CPPUNIT_ASSERT(Admission::decide({true, 0, 1, 0, 1}) == ResultCode::Draining);
        CPPUNIT_ASSERT(Admission::decide({false, 1, 1, 0, 1}) == ResultCode::Overloaded);
        CPPUNIT_ASSERT(Admission::decide({false, 0, 9, 1, 1}) == ResultCode::OrganisationLimit);
    }

    void generationDropsDuplicatesAndDetectsGaps()
    {
        using Step = GenerationProgress::Step;
        GenerationProgress progress;
        CPPUNIT_ASSERT(progress.add(0, "a") == Step::Appended);
        CPPUNIT_ASSERT(progress.add(0, "x") == Step::Duplicate);
        CPPUNIT_ASSERT(progress.add(2, "c") == Step::Gap);
        CPPUNIT_ASSERT(progress.add(1, "b") == Step::Appended);
        CPPUNIT_ASSERT_EQUAL(std::string("ab"), progress.text());
    }

    void burnWindowDropsOldBuckets()
    {
        BurnWindow window;
        window.add(true, m_now);
        window.add(false, m_now + seconds(60));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), window.countsOver(seconds(300), m_now + seconds(60)).met);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), window.countsOver(seconds(300), m_now + seconds(400)).met);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), window.countsOver(seconds(3600), m_now + seconds(400)).missed);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), window.countsOver(seconds(3600), m_now + seconds(7200)).missed);
    }

    void lowPercentileIsBelowTheMean()
    {
        DurationEstimate estimate;
        RandomEngine random(5);
        for (int it = 0; it < 2'000; ++it) {
            estimate.observe(milliseconds(std::uniform_int_distribution<int>(10, 110)(random)));
        }
        CPPUNIT_ASSERT(estimate.lowPercentile() >= milliseconds(8) && estimate.lowPercentile() <= milliseconds(30));
        CPPUNIT_ASSERT(estimate.mean() >= milliseconds(40) && estimate.mean() <= milliseconds(80));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(QueueTest);

} // namespace Guavalock
