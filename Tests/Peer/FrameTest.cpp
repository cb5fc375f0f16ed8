#include "Decisions/RandomEngine.h"
#include "Peer/FrameBuilder.h"
#include "Peer/FrameReader.h"
#include "Peer/PeerHandshake.h"

#include <cppunit/extensions/HelperMacros.h>

namespace Guavalock
{

class FrameTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(FrameTest);
    CPPUNIT_TEST(stageCallsComeThroughWhole);
    CPPUNIT_TEST(snapshotsComeThroughWhole);
    CPPUNIT_TEST(damagedFramesAreRefusedOrHarmless);
    CPPUNIT_TEST(proofNeedsTheKeyTheRoleAndTheNonces);
    CPPUNIT_TEST_SUITE_END();

    Clock::TimePoint m_now{std::chrono::seconds(9)};

    StageCall call() const
    {
        StageCall it;
        it.requestId = "r1";
        it.attemptId = "r1.0.1";
        it.pool = "platform/engines";
        it.idempotent = false;
        it.demand.organisation = "mill";
        it.demand.weight = 3;
        it.demand.suspect = true;
        it.demand.deadline = m_now + std::chrono::milliseconds(250);
        it.input = {{"prompt", "steel"}};
        it.position = 4;
        it.textSoFar = "a b c d";
        return it;
    }

public:
    void stageCallsComeThroughWhole()
    {
        const FrameBuilder::Bytes frame = FrameBuilder::stageCall(17, call(), m_now);
        std::optional<StageCall> got;
        FrameHandlers handlers;
        handlers.stageCall = [&](std::uint64_t id, StageCall it) {
            CPPUNIT_ASSERT_EQUAL(std::uint64_t(17), id);
            got = std::move(it);
        };
        CPPUNIT_ASSERT(FrameReader::dispatch(frame, m_now, handlers));
        CPPUNIT_ASSERT(got);
        CPPUNIT_ASSERT_EQUAL(std::string("r1.0.1"), got->attemptId);
        CPPUNIT_ASSERT(!got->idempotent && got->demand.suspect);
        CPPUNIT_ASSERT(got->demand.deadline == call().demand.deadline);
        CPPUNIT_ASSERT(got->input == call().input);
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), got->position);
    }

    void snapshotsComeThroughWhole()
    {
        ConfigurationTree tree;
        tree.apply({"i", "organisations/mill", 0, "weight: 2", "t"}, 6);
        std::optional<ConfigurationTree> got;
        FrameHandlers handlers;
        handlers.snapshot = [&](ConfigurationTree it) {
            got = std::move(it);
        };
        CPPUNIT_ASSERT(FrameReader::dispatch(FrameBuilder::snapshot(tree), m_now, handlers));
        CPPUNIT_ASSERT(got->documents() == tree.documents() && got->versions() == tree.versions());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(7), got->nextOffset());
    }

    void damagedFramesAreRefusedOrHarmless()
    {
        const FrameBuilder::Bytes frame = FrameBuilder::stageCall(17, call(), m_now);
        RandomEngine random(3);
        std::size_t refused = 0;
        for (int it = 0; it < 5'000; ++it) {
            FrameBuilder::Bytes bad = frame;
            for (int n = 0; n < 3; ++n) {
                bad[random() % bad.size()] = static_cast<std::uint8_t>(random());
            }
            refused += FrameReader::dispatch(bad, m_now, {}) ? 0 : 1;
        }
        for (std::size_t n = 0; n < frame.size(); ++n) {
            CPPUNIT_ASSERT(!FrameReader::dispatch(FrameReader::Bytes(frame.data(), n), m_now, {}));
        }
        CPPUNIT_ASSERT(refused > 500);
    }

    void proofNeedsTheKeyTheRoleAndTheNonces()
    {
        using Role = PeerHandshake::Role;
        FrameBuilder::Hello a{1, "a", "north", "a.1", FrameBuilder::Bytes(32, 1)};
        const FrameBuilder::Hello b{1, "b", "south", "b.1", FrameBuilder::Bytes(32, 2)};
        const FrameBuilder::Bytes proof = PeerHandshake::proof("key", Role::Dialler, a, b);
        CPPUNIT_ASSERT(proof != PeerHandshake::proof("other", Role::Dialler, a, b));
        CPPUNIT_ASSERT(proof != PeerHandshake::proof("key", Role::Listener, a, b));
        CPPUNIT_ASSERT(proof != PeerHandshake::proof("key", Role::Dialler, b, a));
        a.nonce.front() = 9;
        CPPUNIT_ASSERT(proof != PeerHandshake::proof("key", Role::Dialler, a, b));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FrameTest);

} // namespace Guavalock
