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
    CPPUNIT_TEST(stageCallRoundTrip);
    CPPUNIT_TEST(snapshotRoundTrip);
    CPPUNIT_TEST(corruptFramesAreRejectedOrDecodedSafely);
    CPPUNIT_TEST(proofDependsOnKeyRoleAndNonces);
    CPPUNIT_TEST_SUITE_END();

    Clock::TimePoint m_now{std::chrono::seconds(9)};

    StageCall call() const
    {
        StageCall it;
        it.requestId = "r1";
        it.attemptId = "r1.0.1";
        it.pool = "platform/engines";
        it.idempotent = false;
        it.requirements.organisation = "mill";
        it.requirements.weight = 3;
        it.requirements.suspect = true;
        it.requirements.deadline = m_now + std::chrono::milliseconds(250);
        it.input = {{"prompt", "steel"}};
        it.position = 4;
        it.textSoFar = "a b c d";
        return it;
    }

public:
    void stageCallRoundTrip()
    {
        const FrameBuilder::Bytes frame = FrameBuilder::stageCall(17, call(), m_now);
        std::optional<StageCall> decoded;
        FrameHandlers handlers;
        handlers.stageCall = [&](std::uint64_t id, StageCall it) {
            CPPUNIT_ASSERT_EQUAL(std::uint64_t(17), id);
            decoded = std::move(it);
        };
        CPPUNIT_ASSERT(FrameReader::dispatch(frame, m_now, handlers));
        CPPUNIT_ASSERT(decoded);
        CPPUNIT_ASSERT_EQUAL(std::string("r1.0.1"), decoded->attemptId);
        CPPUNIT_ASSERT(!decoded->idempotent && decoded->requirements.suspect);
        CPPUNIT_ASSERT(decoded->requirements.deadline == call().requirements.deadline);
        CPPUNIT_ASSERT(decoded->input == call().input);
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), decoded->position);
    }

    void snapshotRoundTrip()
    {
        ConfigurationTree tree;
        tree.apply({"i", "organisations/mill", 0, "weight: 2", "t"}, 6);
        std::optional<ConfigurationTree> decoded;
        FrameHandlers handlers;
        handlers.snapshot = [&](ConfigurationTree it) {
            decoded = std::move(it);
        };
        CPPUNIT_ASSERT(FrameReader::dispatch(FrameBuilder::snapshot(tree), m_now, handlers));
        CPPUNIT_ASSERT(decoded->documents() == tree.documents() && decoded->versions() == tree.versions());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(7), decoded->nextOffset());
    }

    void corruptFramesAreRejectedOrDecodedSafely()
    {
        const FrameBuilder::Bytes frame = FrameBuilder::stageCall(17, call(), m_now);
        RandomEngine random(3);
        std::size_t rejected = 0;
        for (int it = 0; it < 5'000; ++it) {
            FrameBuilder::Bytes corrupt = frame;
            for (int n = 0; n < 3; ++n) {
                corrupt[random() % corrupt.size()] = static_cast<std::uint8_t>(random());
            }
            rejected += FrameReader::dispatch(corrupt, m_now, {}) ? 0 : 1;
        }
        for (std::size_t n = 0; n < frame.size(); ++n) {
            CPPUNIT_ASSERT(!FrameReader::dispatch(FrameReader::Bytes(frame.data(), n), m_now, {}));
        }
        CPPUNIT_ASSERT(rejected > 500);
    }

    void proofDependsOnKeyRoleAndNonces()
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
