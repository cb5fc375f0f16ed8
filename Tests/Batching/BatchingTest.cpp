#include "Batching/BatchQueue.h"
#include "Batching/BatchWorker.h"
#include "Batching/ResultOutbox.h"
#include "Batching/ResultStorage.h"
#include "Batching/StagePlan.h"
#include "Batching/StageTimes.h"
#include "Decisions/RandomEngine.h"
#include "Fleet/BatchParameters.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <ctime>

namespace Guavalock
{

class BatchingTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(BatchingTest);
    CPPUNIT_TEST(stagesFollowTheirGraph);
    CPPUNIT_TEST(stagesWithoutPiecesAreLeftOut);
    CPPUNIT_TEST(resultsAreFreedOnceEveryTakerHasReadThem);
    CPPUNIT_TEST(lostInputsAreMadeAgain);
    CPPUNIT_TEST(sideStagesStartInTimeForTheEndOfTheLongestChain);
    CPPUNIT_TEST(urgentPiecesThatCanStillMakeItGoFirst);
    CPPUNIT_TEST(latePiecesAreProcessedBeforeTheirInputsExpire);
    CPPUNIT_TEST(callsTakeThePiecesInTheStatedOrder);
    CPPUNIT_TEST(longQueuesDoNotOccupyTheirOwner);
    CPPUNIT_TEST(batchesStayWithinLimitAndRoom);
    CPPUNIT_TEST(piecesWaitForATargetNearTheirInputsWhileTheyCan);
    CPPUNIT_TEST(piecesThatNearTargetsCannotTakeSoonGoElsewhere);
    CPPUNIT_TEST(resultsThatAreReadOftenAreMadeNearTheirReaders);
    CPPUNIT_TEST(cancelledAndLatePiecesAreNotSent);
    CPPUNIT_TEST(roomComesBackWhenFreedOrExpired);
    CPPUNIT_TEST(foreignResultsTakeRoom);
    CPPUNIT_TEST(roomFreedDuringACallIsNotTakenForForeign);
    CPPUNIT_TEST(resultsWaitForABrokenLink);
    CPPUNIT_TEST(slowTargetsAreTriedAgainLater);
    CPPUNIT_TEST(callsToATargetThatFailedBeginSmall);
    CPPUNIT_TEST(timesOfAQuietServiceReturnToUsual);
    CPPUNIT_TEST_SUITE_END();

    using Milliseconds = std::chrono::milliseconds;

    static constexpr std::chrono::milliseconds stage{280};

    Clock::TimePoint m_now{std::chrono::seconds(100)};
    std::map<std::string, std::size_t> m_targets{{"north", 1}, {"south", 1}};

    static Clock::Duration usual(const std::string &)
    {
        return stage;
    }

    static std::vector<StageNode> chain()
    {
        return {{"ledger", {}, 8'000}, {"yard", {0}, 60'000}, {"portal", {1}, 6'000}};
    }

    static BatchParameters parameters()
    {
        BatchParameters parameters;
        parameters.maxBatchSize = 4;
        parameters.fixedCallTime = Milliseconds(200);
        parameters.perPieceTime = Milliseconds(10);
        parameters.resultCapacityBytes = 1'000;
        return parameters;
    }

    BatchQueue::Entry entry(const std::string &request, Milliseconds wantedIn, unsigned rank = 1) const
    {
        Piece piece;
        piece.requestId = request;
        piece.rank = rank;
        piece.resultBytes = 10;
        piece.softDeadline = m_now + wantedIn;
        piece.deadline = m_now + wantedIn + Milliseconds(1'000);
        return {piece, "vm", m_now, 0};
    }

    /// An idle target in the north; another usable target is in the south.
    BatchQueue::IdleTarget offer(std::uint64_t room) const
    {
        return {room, "north", m_targets};
    }

    static std::string requests(const std::vector<BatchQueue::Entry> &entries)
    {
        std::string text;
        for (const BatchQueue::Entry &it : entries) {
            text += it.piece.requestId;
        }
        return text;
    }

    /// Completes the given pieces, each with its own handle.
    static void makeAll(StagePlan &plan, const std::vector<Piece> &pieces)
    {
        for (const Piece &it : pieces) {
            plan.markCompleted(it.stage, it.index, "h" + std::to_string(it.stage) + "." + std::to_string(it.index), "north");
        }
    }

public:
    void stagesFollowTheirGraph()
    {
        StagePlan plan(chain(), {1, 2, 3}, "r", "key");
        auto pieces = plan.takeReady(usual);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), pieces.size());
        CPPUNIT_ASSERT_EQUAL(std::string("key"), pieces[0].key);
        CPPUNIT_ASSERT(plan.takeReady(usual).empty());
        makeAll(plan, pieces);
        pieces = plan.takeReady(usual);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), pieces.size());
        CPPUNIT_ASSERT(pieces[0].key.empty());
        CPPUNIT_ASSERT_EQUAL(std::string("h0.0"), pieces[0].inputs.at(0));
        makeAll(plan, pieces);
        pieces = plan.takeReady(usual);
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), pieces.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), pieces[2].inputs.size());
        CPPUNIT_ASSERT_EQUAL(std::string("north"), pieces[0].nearDataCentre);
        makeAll(plan, pieces);
        CPPUNIT_ASSERT(plan.complete());
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), plan.finalHandles().size());
    }

    void stagesWithoutPiecesAreLeftOut()
    {
        StagePlan plan({{"ledger", {}, 1}, {"yard", {}, 1}}, {0, 1}, "r", "key");
        const auto pieces = plan.takeReady(usual);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), pieces.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), pieces[0].stage);
        makeAll(plan, pieces);
        CPPUNIT_ASSERT(plan.complete());
        CPPUNIT_ASSERT(StagePlan(chain(), {0, 0, 0}, "r", "key").complete());
    }

    void resultsAreFreedOnceEveryTakerHasReadThem()
    {
        StagePlan plan(chain(), {1, 2, 1}, "r", "key");
        makeAll(plan, plan.takeReady(usual));
        const auto yard = plan.takeReady(usual);
        plan.markInputsRead(1, 0);
        CPPUNIT_ASSERT(plan.takeConsumed().empty());
        plan.markInputsRead(1, 1);
        const auto used = plan.takeConsumed();
        CPPUNIT_ASSERT_EQUAL(std::string("h0.0"), used.at("ledger").at(0));
        CPPUNIT_ASSERT(plan.takeConsumed().empty());
        makeAll(plan, yard);
        makeAll(plan, plan.takeReady(usual));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), plan.takeConsumed().at("yard").size());
        // The final results are kept for the model engine.
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), plan.allHandles().size());
    }

    void lostInputsAreMadeAgain()
    {
        StagePlan plan(chain(), {1, 2, 1}, "r", "key");
        makeAll(plan, plan.takeReady(usual));
        plan.takeReady(usual);
        const auto dropped = plan.invalidateInputs(1, 0);
        CPPUNIT_ASSERT_EQUAL(std::string("h0.0"), dropped.at("ledger").at(0));
        const auto again = plan.takeReady(usual);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), again.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), again[0].stage);
        // The other piece of the stage is still outstanding.
        makeAll(plan, again);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), plan.takeReady(usual).size());
    }

    void sideStagesStartInTimeForTheEndOfTheLongestChain()
    {
        std::vector<StageNode> stages = chain();
        stages.push_back({"ledger", {}, 1'500'000});
        StagePlan plan(stages, {1, 1, 1, 2}, "r", "key");
        const auto first = plan.takeReady(usual);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), first.size());
        makeAll(plan, first);
        // The piece for "yard" is due, and the side stage takes as long as the rest of the chain.
        auto second = plan.takeReady(usual);
        const auto rest = plan.takeReady(usual);
        second.insert(second.end(), rest.begin(), rest.end());
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), second.size());
    }

    void urgentPiecesThatCanStillMakeItGoFirst()
    {
        BatchQueue queue;
        queue.add(entry("lost ", Milliseconds(100), 0));
        queue.add(entry("later ", Milliseconds(900)));
        queue.add(entry("sooner ", Milliseconds(500)));
        queue.add(entry("ranked ", Milliseconds(900), 0));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), queue.countAhead(entry("", Milliseconds(400)).piece, parameters(), m_now));
        CPPUNIT_ASSERT_EQUAL(std::string("ranked sooner later lost "), requests(queue.take(parameters(), offer(1'000), m_now)));
    }

    /// A late piece waited behind all less urgent ones until its inputs were gone, and the stages before it were executed again.
    void latePiecesAreProcessedBeforeTheirInputsExpire()
    {
        for (const auto order : {BatchQueue::Order::ByObjective, BatchQueue::Order::ProtectResults}) {
            BatchQueue queue(order);
            BatchQueue::Entry late = entry("late ", Milliseconds(100));
            late.piece.inputs = {"h"};
            queue.add(late);
            queue.add(entry("urgent ", Milliseconds(9'000), 0));
            queue.add(entry("same ", Milliseconds(9'000), 1));
            queue.add(entry("other ", Milliseconds(9'000), 2));
            BatchParameters limits = parameters();
            limits.resultLifetime = Milliseconds(4'000);
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), queue.countByRank(limits, m_now + Milliseconds(1'900)).late.at(1));
            const bool isProtected = order == BatchQueue::Order::ProtectResults;
            const Clock::TimePoint then = m_now + Milliseconds(2'100);
            CPPUNIT_ASSERT_EQUAL(std::size_t(isProtected ? 2 : 1), queue.countByRank(limits, then).first.at(1));
            CPPUNIT_ASSERT_EQUAL(std::string(isProtected ? "urgent same late other " : "urgent same other late "),
                                 requests(queue.take(limits, offer(1'000), then)));
        }
    }

    /// A call must take the first pieces of the stated order, whatever was taken before.
    void callsTakeThePiecesInTheStatedOrder()
    {
        RandomEngine random(7);
        BatchQueue queue;
        std::vector<std::pair<unsigned, int>> expected;
        for (int it = 0; it < 200; ++it) {
            const auto rank = static_cast<unsigned>(random() % 3);
            // No two pieces of a rank have the same deadline, so the order is unambiguous.
            const int wantedIn = 1'000 + it * 37 % 200;
            queue.add(entry(std::to_string(wantedIn) + ' ', Milliseconds(wantedIn), rank));
            expected.emplace_back(rank, wantedIn);
        }
        std::ranges::sort(expected);
        std::string all;
        while (!queue.empty()) {
            const std::vector<BatchQueue::Entry> taken = queue.take(parameters(), offer(1'000), m_now);
            CPPUNIT_ASSERT_EQUAL(parameters().maxBatchSize, taken.size());
            all += requests(taken);
        }
        std::string wanted;
        for (const auto &[rank, wantedIn] : expected) {
            wanted += std::to_string(wantedIn) + ' ';
        }
        CPPUNIT_ASSERT_EQUAL(wanted, all);
    }

    /// An owner with half of a core sorted a long queue for each call and fell behind, so that targets were idle while pieces waited.
    void longQueuesDoNotOccupyTheirOwner()
    {
        constexpr int queued = 5'000; // A second of a stage service before 840 targets.
        constexpr int calls = 120; // The same.
        constexpr double allowedSeconds = 0.1; // A fifth of the owner's share of a processor.
        BatchQueue queue;
        for (int it = 0; it < queued; ++it) {
            queue.add(entry("request-" + std::to_string(it), Milliseconds(500 + it * 7'919 % 5'000), static_cast<unsigned>(it % 3)));
        }
        const std::clock_t begin = std::clock();
        for (int it = 0; it < calls; ++it) {
            for (BatchQueue::Entry &taken : queue.take(parameters(), offer(1'000), m_now)) {
                queue.add(std::move(taken));
            }
        }
        const double seconds = static_cast<double>(std::clock() - begin) / CLOCKS_PER_SEC;
        CPPUNIT_ASSERT_MESSAGE(std::to_string(seconds) + " s", seconds < allowedSeconds);
        CPPUNIT_ASSERT_EQUAL(std::size_t(queued), queue.size());
    }

    void batchesStayWithinLimitAndRoom()
    {
        BatchQueue queue;
        for (int it = 0; it < 6; ++it) {
            queue.add(entry("r", Milliseconds(500)));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), queue.take(parameters(), offer(25), m_now).size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), queue.take(parameters(), offer(1'000), m_now).size());
        CPPUNIT_ASSERT(queue.empty());
    }

    void piecesWaitForATargetNearTheirInputsWhileTheyCan()
    {
        BatchQueue queue;
        BatchQueue::Entry far = entry("r", Milliseconds(900));
        far.piece.nearDataCentre = "south";
        far.piece.nearBytes = 1'000'000;
        queue.add(far);
        CPPUNIT_ASSERT(queue.take(parameters(), offer(1'000), m_now).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), queue.take(parameters(), offer(1'000), m_now + Milliseconds(301)).size());
        far.piece.softDeadline = m_now + Milliseconds(300);
        queue.add(far);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), queue.take(parameters(), offer(1'000), m_now).size());
    }

    void piecesThatNearTargetsCannotTakeSoonGoElsewhere()
    {
        BatchQueue queue;
        for (int it = 0; it < 6; ++it) {
            BatchQueue::Entry far = entry(std::to_string(it), Milliseconds(900 + it));
            far.piece.nearDataCentre = "south";
            far.piece.nearBytes = 1'000'000;
            queue.add(far);
        }
        // The target in the south can take four pieces with its next call.
        CPPUNIT_ASSERT_EQUAL(std::string("45"), requests(queue.take(parameters(), offer(1'000), m_now)));
        CPPUNIT_ASSERT(queue.take(parameters(), offer(1'000), m_now).empty());
        m_targets.erase("south");
        CPPUNIT_ASSERT_EQUAL(std::string("0123"), requests(queue.take(parameters(), offer(1'000), m_now)));
    }

    void resultsThatAreReadOftenAreMadeNearTheirReaders()
    {
        StagePlan plan(chain(), {1, 2, 10}, "r", "key");
        plan.setDestination("south");
        makeAll(plan, plan.takeReady(usual));
        const auto yard = plan.takeReady(usual);
        // Ten pieces read each 60 kB result, which outweighs the 8 kB input in the north.
        CPPUNIT_ASSERT_EQUAL(std::string("south"), yard.at(0).nearDataCentre);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(600'000), yard.at(0).nearBytes);
    }

    void cancelledAndLatePiecesAreNotSent()
    {
        BatchQueue queue;
        queue.add(entry("a", Milliseconds(500)));
        queue.add(entry("b", Milliseconds(500)));
        queue.cancel("other", "a");
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), queue.size());
        queue.cancel("vm", "a");
        CPPUNIT_ASSERT_EQUAL(std::string("b"), requests(queue.takeExpired(m_now + Milliseconds(1'500))));
        CPPUNIT_ASSERT(queue.empty());
    }

    void roomComesBackWhenFreedOrExpired()
    {
        ResultStorage room;
        room.add("h1", 400, m_now + Milliseconds(100));
        room.add("h2", 300, m_now + Milliseconds(900));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(300), room.available(1'000, m_now));
        room.free("h2");
        room.free("unknown");
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(600), room.available(1'000, m_now));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1'000), room.available(1'000, m_now + Milliseconds(200)));
    }

    void foreignResultsTakeRoom()
    {
        ResultStorage room;
        room.add("h1", 400, m_now + std::chrono::seconds(4));
        room.addUntracked(600, m_now, m_now + Milliseconds(800));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), room.available(1'000, m_now));
        room.free("h1");
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(400), room.available(1'000, m_now));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1'000), room.available(1'000, m_now + Milliseconds(801)));
    }

    /// A target checks its storage when a call starts, but reports a shortage only when the call ends. Results freed in between must not
    /// be counted as untracked.
    void roomFreedDuringACallIsNotTakenForForeign()
    {
        BatchWorker worker({"t1", {"127.0.0.1", 1}, "north", "yard"});
        const auto until = m_now + std::chrono::seconds(4);
        worker.storage.add("h1", 400, until);
        worker.storage.add("h2", 400, until);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(200), worker.storageForCall(1'000, m_now));
        worker.storage.free("h1");
        worker.storage.free("h2");
        worker.storage.add("h3", 150, until);
        worker.recordStorageExhausted(150, m_now + Milliseconds(300));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(800), worker.storage.available(1'000, m_now + Milliseconds(300)));
    }

    void callsToATargetThatFailedBeginSmall()
    {
        BatchWorker worker({"t1", {"127.0.0.1", 1}, "north", "yard"});
        CPPUNIT_ASSERT_EQUAL(std::size_t(30), worker.nextBatchLimit(30));
        worker.recordCallFailure();
        worker.recordCallDuration(Milliseconds(1'500), Milliseconds(300), m_now); // As after a call that timed out.
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), worker.nextBatchLimit(30));
        worker.recordCallSuccess();
        CPPUNIT_ASSERT_EQUAL(std::size_t(30), worker.nextBatchLimit(30));
    }

    void resultsWaitForABrokenLink()
    {
        bool linked = false;
        std::size_t delivered = 0;
        ResultOutbox outbox([&](const std::string &, const std::vector<PieceResult> &results, const std::vector<ServiceBacklog> &) {
            delivered += linked ? results.size() : 0;
            return linked;
        });
        outbox.add("vm", {1, PieceResult::Outcome::Completed, "h1", "north"}, m_now);
        CPPUNIT_ASSERT(outbox.flush({}, m_now + Milliseconds(1'000)).empty());
        linked = true;
        CPPUNIT_ASSERT(outbox.flush({}, m_now + Milliseconds(1'100)).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), delivered);
        linked = false;
        outbox.add("vm", {2, PieceResult::Outcome::Completed, "h2", "north"}, m_now);
        outbox.add("vm", {3, PieceResult::Outcome::DeadlineExceeded, "", ""}, m_now);
        CPPUNIT_ASSERT_EQUAL(std::string("h2"), outbox.flush({}, m_now + Milliseconds(1'501)).at(0));
        linked = true;
        CPPUNIT_ASSERT(outbox.flush({}, m_now + Milliseconds(1'600)).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), delivered);
    }

    void slowTargetsAreTriedAgainLater()
    {
        BatchWorker worker({"t1", {"127.0.0.1", 1}, "north", "yard"});
        for (int it = 0; it < 4; ++it) {
            worker.recordCallDuration(Milliseconds(1'500), Milliseconds(300), m_now);
        }
        CPPUNIT_ASSERT(worker.slowdown(m_now) > 4);
        CPPUNIT_ASSERT(!worker.startsImmediately(m_now));
        CPPUNIT_ASSERT(worker.slowdown(m_now + std::chrono::seconds(10)) < 1.5);
    }

    void timesOfAQuietServiceReturnToUsual()
    {
        StageTimes times;
        CPPUNIT_ASSERT(times.expected("yard", stage, m_now) == stage);
        times.observe("yard", Milliseconds(1'280), m_now);
        CPPUNIT_ASSERT(times.expected("yard", stage, m_now) == Milliseconds(1'280));
        CPPUNIT_ASSERT(times.expected("yard", stage, m_now + std::chrono::seconds(5)) < Milliseconds(300));
        times.observe("portal", Milliseconds(100), m_now);
        CPPUNIT_ASSERT(times.expected("portal", stage, m_now) == stage);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BatchingTest);

} // namespace Guavalock
