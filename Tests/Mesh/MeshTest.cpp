#include "Mesh/MeshCodec.h"
#include "Mesh/Roster.h"

#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <set>

namespace Guavalock
{

class MeshTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(MeshTest);
    CPPUNIT_TEST(piecesComeThroughWhole);
    CPPUNIT_TEST(resultsComeThroughWhole);
    CPPUNIT_TEST(droppedKeysStayDropped);
    CPPUNIT_TEST(damagedFramesAreRefusedOrHarmless);
    CPPUNIT_TEST(allMembersNameTheSameOwner);
    CPPUNIT_TEST(silentAndDrainingMembersOwnNothing);
    CPPUNIT_TEST(drainingMembersStillFinishWhatTheyHave);
    CPPUNIT_TEST(smallMachinesTakeNoWorkForOthers);
    CPPUNIT_TEST_SUITE_END();

    using Milliseconds = std::chrono::milliseconds;

    Clock::TimePoint m_now{std::chrono::seconds(100)};

    static MemberRecord member(const std::string &vm, double share = 0.25)
    {
        return {vm, "north", {"127.0.0.1", 7000}, "i-" + vm, share};
    }

    /// Returns a roster in which every other daemon is linked and heard.
    std::unique_ptr<Roster> roster(const std::string &self, const std::vector<std::string> &all) const
    {
        auto roster = std::make_unique<Roster>(member(self));
        for (const std::string &it : all) {
            roster->learn(member(it));
            roster->linked(it, true);
            roster->heard(it, false, m_now);
        }
        return roster;
    }

    Piece piece() const
    {
        Piece piece;
        piece.number = 77;
        piece.requestId = "r1";
        piece.stage = 2;
        piece.fragment = 9;
        piece.service = "yard";
        piece.inputs = {"10.0.0.1:80/a", "10.0.0.1:80/b"};
        piece.nearDataCentre = "north";
        piece.nearBytes = 360'000;
        piece.resultBytes = 6'000;
        piece.refusable = true;
        piece.rank = 3;
        piece.wantedBy = m_now + Milliseconds(400);
        piece.deadline = m_now + Milliseconds(4'000);
        return piece;
    }

public:
    void piecesComeThroughWhole()
    {
        std::vector<Piece> got;
        MeshHandlers handlers;
        handlers.pieces = [&](std::vector<Piece> pieces) {
            got = std::move(pieces);
        };
        // The receiver's clock is another one; what is left of each time stays.
        const Clock::TimePoint there = m_now + std::chrono::hours(5);
        CPPUNIT_ASSERT(MeshCodec::read(MeshCodec::pieces({piece(), piece()}, m_now), there, handlers));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), got.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(77), got[1].number);
        CPPUNIT_ASSERT(got[1].inputs == piece().inputs && got[1].key.empty() && got[1].refusable);
        CPPUNIT_ASSERT(got[1].wantedBy == there + Milliseconds(400));
        CPPUNIT_ASSERT(got[1].deadline == there + Milliseconds(4'000));
    }

    void resultsComeThroughWhole()
    {
        std::vector<PieceResult> got;
        MeshHandlers handlers;
        handlers.results = [&](std::vector<PieceResult> results) {
            got = std::move(results);
        };
        const std::vector<PieceResult> sent{{1, PieceResult::End::Made, "h", "north"}, {2, PieceResult::End::Failed, "", ""}};
        CPPUNIT_ASSERT(MeshCodec::read(MeshCodec::results(sent), m_now, handlers));
        CPPUNIT_ASSERT_EQUAL(std::string("h"), got.at(0).handle);
        CPPUNIT_ASSERT(got.at(1).end == PieceResult::End::Failed);
    }

    void droppedKeysStayDropped()
    {
        std::optional<RecordUpdate> got;
        MeshHandlers handlers;
        handlers.records = [&](RecordUpdate update) {
            got = std::move(update);
        };
        const RecordUpdate sent{Topic::Targets, {{"gone", std::nullopt, 4}, {"empty", "", 5}}, 6, m_now - Milliseconds(300), true};
        CPPUNIT_ASSERT(MeshCodec::read(MeshCodec::records(sent, m_now), m_now, handlers));
        CPPUNIT_ASSERT(!got->records.at(0).value && got->records.at(1).value);
        CPPUNIT_ASSERT(got->confirmed == m_now - Milliseconds(300));
        CPPUNIT_ASSERT(got->topic == Topic::Targets && got->next == 6 && got->complete);
    }

    void damagedFramesAreRefusedOrHarmless()
    {
        const MeshCodec::Bytes frame = MeshCodec::pieces({piece()}, m_now);
        for (std::size_t it = 0; it < frame.size(); ++it) {
            for (const std::uint8_t mask : {0x01, 0x80, 0xff}) {
                MeshCodec::Bytes damaged = frame;
                damaged[it] ^= mask;
                MeshCodec::read(damaged, m_now, {});
            }
            MeshCodec::read(MeshCodec::Bytes(frame.begin(), frame.begin() + static_cast<std::ptrdiff_t>(it)), m_now, {});
        }
    }

    void allMembersNameTheSameOwner()
    {
        const std::vector<std::string> all{"a", "b", "c", "d"};
        for (const std::string service : {"yard", "ledger", "portal"}) {
            const std::string owner = roster("a", all)->owner(service, m_now);
            for (const std::string &it : all) {
                CPPUNIT_ASSERT_EQUAL(owner, roster(it, all)->owner(service, m_now));
            }
        }
    }

    void silentAndDrainingMembersOwnNothing()
    {
        const std::vector<std::string> all{"a", "b", "c"};
        const auto list = roster("a", all);
        Roster &it = *list;
        it.heard("b", true, m_now);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), it.live(m_now).size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), it.live(m_now + Roster::silenceLimit).size());
        it.startDraining();
        CPPUNIT_ASSERT_EQUAL(std::string("c"), it.owner("yard", m_now));
        // Nobody else is left, so that it has to do the work itself.
        CPPUNIT_ASSERT_EQUAL(std::string("a"), it.owner("yard", m_now + Roster::silenceLimit));
    }

    void drainingMembersStillFinishWhatTheyHave()
    {
        const auto list = roster("a", {"a", "b"});
        Roster &it = *list;
        it.heard("b", true, m_now);
        CPPUNIT_ASSERT(it.reachable("b", m_now));
        it.linked("b", false);
        CPPUNIT_ASSERT(!it.reachable("b", m_now));
    }

    void smallMachinesTakeNoWorkForOthers()
    {
        Roster it(member("small", 0.09));
        for (const auto &[vm, share] : {std::pair("large-1", 0.5), std::pair("large-2", 0.45), std::pair("middle", 0.3)}) {
            it.learn(member(vm, share));
            it.linked(vm, true);
            it.heard(vm, false, m_now);
        }
        std::set<std::string> owners;
        for (int n = 0; n < 100; ++n) {
            owners.insert(it.owner("service-" + std::to_string(n), m_now));
        }
        CPPUNIT_ASSERT((owners == std::set<std::string>{"large-1", "large-2"}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MeshTest);

} // namespace Guavalock
