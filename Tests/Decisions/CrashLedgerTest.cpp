#include "Decisions/CrashLedger.h"
#include "Decisions/ContentHash.h"
#include "Decisions/RandomEngine.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace Guavalock
{

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

/// Tests the decision which content of requests crashes targets.
class CrashLedgerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CrashLedgerTest);
    CPPUNIT_TEST(contentThatCrashesTwiceIsQuarantined);
    CPPUNIT_TEST(contentOfSoundRequestsIsNeverQuarantined);
    CPPUNIT_TEST(crashesOfOneMomentCountOnce);
    CPPUNIT_TEST(twoFaultyPartsAreBothQuarantined);
    CPPUNIT_TEST(companyOfFaultyPartsIsToldApart);
    CPPUNIT_TEST(frequentContentIsNotQuarantinedWithRareContent);
    CPPUNIT_TEST(ambiguousQuarantinesAreShort);
    CPPUNIT_TEST(nothingIsDecidedOnHalfTheEvidence);
    CPPUNIT_TEST(responsesBeforeCrashesAreTold);
    CPPUNIT_TEST(contentWithResponsesIsNotBlamedForExplainedCrashes);
    CPPUNIT_TEST(repeatedRequestsAreQuarantinedAlone);
    CPPUNIT_TEST(crashesOfOneTargetCountHalf);
    CPPUNIT_TEST(responsesAfterTheLastCrashLiftAQuarantine);
    CPPUNIT_TEST(companyOfATrialGetsAShortQuarantine);
    CPPUNIT_TEST(crashesAndTheirResponsesArePassedOnTogether);
    CPPUNIT_TEST(daemonsTryInTurn);
    CPPUNIT_TEST(ordinaryCrashesQuarantineNothingShared);
    CPPUNIT_TEST(quarantineEndsWithOneTrial);
    CPPUNIT_TEST(failedTrialsDoubleTheQuarantine);
    CPPUNIT_TEST(daemonsAgreeThroughEvidence);
    CPPUNIT_TEST(restartedDaemonsLearnFromASnapshot);
    CPPUNIT_TEST(memoryIsBounded);
    CPPUNIT_TEST_SUITE_END();

    using Contents = std::vector<std::uint64_t>;

    static constexpr Clock::TimePoint start{seconds(1'000)};
    static constexpr std::uint64_t shared = 1;
    static constexpr std::uint64_t faulty = 13;
    static constexpr std::uint64_t otherFaulty = 17;

    static CrashLedger makeLedger(bool isTrialDaemon = true)
    {
        return {CrashLedger::Limits(), [isTrialDaemon](std::uint64_t, unsigned) {
                    return isTrialDaemon;
                }};
    }

    /// Numbers below 100 stand for parts of prompts, others for whole requests.
    static Contents hashes(Contents contents)
    {
        std::ranges::transform(contents, contents.begin(),
                               [](std::uint64_t it) { return it < 100 ? ContentHash::ofPart(2 * it) : ContentHash::ofRequest(2 * it); });
        return contents;
    }

    static void crash(CrashLedger &ledger, const std::string &target, const Contents &contents, Clock::TimePoint at)
    {
        ledger.recordCrash({target, at, hashes(contents)}, at);
    }

public:
    void contentThatCrashesTwiceIsQuarantined()
    {
        CrashLedger ledger = makeLedger();
        ledger.recordResponse(hashes({shared, 100}), start - seconds(1));
        crash(ledger, "a", {shared, faulty, 101}, start);
        CPPUNIT_ASSERT(!ledger.refuseNew(hashes({shared, faulty, 105}), start));
        crash(ledger, "b", {shared, faulty, 102}, start + seconds(1));
        CPPUNIT_ASSERT(ledger.refuseNew(hashes({shared, faulty, 106}), start + seconds(2)) == minutes(1));
        CPPUNIT_ASSERT(!ledger.refuseNew(hashes({shared, 107}), start + seconds(2)));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), ledger.quarantines(start + seconds(2)).size());
    }

    /// One request in twenty has the faulty part. Each crash takes the requests that run beside it, of which none has begun its response.
    void contentOfSoundRequestsIsNeverQuarantined()
    {
        RandomEngine random(7);
        CrashLedger ledger = makeLedger();
        Clock::TimePoint now = start;
        std::uint64_t unique = 1'000;
        unsigned crashes = 0;
        for (int n = 0; n < 4'000; ++n) {
            now += milliseconds(20);
            const std::uint64_t group = 20 + random() % 8;
            Contents request{shared, group, ++unique};
            const bool isFaulty = random() % 20 == 0;
            if (isFaulty) {
                request.push_back(faulty);
            }
            if (ledger.refuseNew(hashes(request), now)) {
                CPPUNIT_ASSERT(isFaulty);
                continue;
            }
            if (!isFaulty) {
                ledger.recordResponse(hashes(request), now);
                continue;
            }
            ++crashes;
            Contents lost = request;
            for (int company = 0; company < 6; ++company) {
                lost.insert(lost.end(), {20 + random() % 8, ++unique});
            }
            std::ranges::sort(lost);
            lost.erase(std::unique(lost.begin(), lost.end()), lost.end());
            crash(ledger, "t" + std::to_string(crashes), lost, now);
        }
        CPPUNIT_ASSERT(crashes <= 4);
    }

    void crashesOfOneMomentCountOnce()
    {
        CrashLedger ledger = makeLedger();
        for (int n = 0; n < 6; ++n) {
            crash(ledger, "t" + std::to_string(n), {shared, 20}, start + milliseconds(8 * n));
        }
        CPPUNIT_ASSERT(ledger.quarantines(start + seconds(1)).empty());
    }

    void twoFaultyPartsAreBothQuarantined()
    {
        CrashLedger ledger = makeLedger();
        ledger.recordResponse(hashes({shared}), start - seconds(1));
        for (int n = 0; n < 4; ++n) {
            const std::uint64_t part = n % 2 == 0 ? faulty : otherFaulty;
            const Clock::TimePoint now = start + seconds(n);
            if (!ledger.refuseNew(hashes({shared, part}), now)) {
                crash(ledger, "t" + std::to_string(n), {shared, part, 100U + static_cast<unsigned>(n)}, now);
            }
        }
        CPPUNIT_ASSERT(ledger.refuseNew(hashes({shared, faulty}), start + seconds(5)));
        CPPUNIT_ASSERT(ledger.refuseNew(hashes({shared, otherFaulty}), start + seconds(5)));
        CPPUNIT_ASSERT(!ledger.refuseNew(hashes({shared}), start + seconds(5)));
    }

    /// The first two requests with the faulty part share all of their parts, and are sent twice each.
    void companyOfFaultyPartsIsToldApart()
    {
        CrashLedger ledger = makeLedger();
        for (unsigned n = 0; n < 4; ++n) {
            crash(ledger, "t" + std::to_string(n), {20, 21, faulty, 100 + n / 2}, start + milliseconds(200 * n));
            CPPUNIT_ASSERT(ledger.quarantines(start + seconds(1)).empty());
        }
        crash(ledger, "t4", {22, 23, faulty, 102}, start + seconds(1));
        CPPUNIT_ASSERT(ledger.refuseNew(hashes({faulty}), start + seconds(2)));
        CPPUNIT_ASSERT(!ledger.refuseNew(hashes({20, 21}), start + seconds(2)));
    }

    /// No target is up for long enough to respond to anything.
    void frequentContentIsNotQuarantinedWithRareContent()
    {
        CrashLedger ledger = makeLedger();
        for (unsigned n = 0; n < 5; ++n) {
            const Clock::TimePoint now = start + seconds(n);
            for (unsigned request = 0; request < 10; ++request) {
                CPPUNIT_ASSERT(!ledger.refuseNew(hashes({shared, 1'000 + 10 * n + request}), now));
            }
            CPPUNIT_ASSERT(!ledger.refuseNew(hashes({shared, faulty, 100 + n}), now));
            crash(ledger, "t" + std::to_string(n), {shared, faulty, 100 + n}, now);
        }
        CPPUNIT_ASSERT(ledger.refuseNew(hashes({shared, faulty}), start + seconds(5)));
        CPPUNIT_ASSERT(!ledger.refuseNew(hashes({shared}), start + seconds(5)));
    }

    void ambiguousQuarantinesAreShort()
    {
        CrashLedger ledger = makeLedger();
        for (unsigned n = 0; n < 5; ++n) {
            ledger.refuseNew(hashes({20, faulty}), start);
            crash(ledger, "t" + std::to_string(n), {20, faulty}, start - seconds(5 - n));
        }
        CPPUNIT_ASSERT(ledger.refuseNew(hashes({20}), start));
        CPPUNIT_ASSERT(ledger.refuseNew(hashes({faulty}), start));
        const Clock::TimePoint trial = start + seconds(10);
        CPPUNIT_ASSERT(!ledger.refuseNew(hashes({20}), trial));
        ledger.recordResponse(hashes({20}), trial + milliseconds(100));
        CPPUNIT_ASSERT(!ledger.refuseNew(hashes({20, faulty}), trial + milliseconds(200)));
        crash(ledger, "next", {20, faulty}, trial + milliseconds(300));
        CPPUNIT_ASSERT(!ledger.refuseNew(hashes({20}), trial + milliseconds(400)));
        CPPUNIT_ASSERT(ledger.refuseNew(hashes({faulty}), trial + seconds(50)));
    }

    /// This daemon's own requests are known at once, those of the others only after a while.
    void nothingIsDecidedOnHalfTheEvidence()
    {
        CrashLedger ledger = makeLedger();
        ledger.recordResponse(hashes({shared}), start - seconds(1));
        for (unsigned n = 0; n < 3; ++n) {
            const Clock::TimePoint now = start + seconds(n);
            crash(ledger, "t" + std::to_string(n), {shared, 100 + n}, now);
            CPPUNIT_ASSERT(!ledger.refuseNew(hashes({shared}), now + milliseconds(300)));
            ledger.merge({{{"t" + std::to_string(n), now, hashes({shared, faulty})}}, {}, {}}, now + milliseconds(350));
        }
        CPPUNIT_ASSERT(ledger.refuseNew(hashes({faulty}), start + seconds(3)));
        CPPUNIT_ASSERT(!ledger.refuseNew(hashes({shared}), start + seconds(3)));
    }

    /// The daemon that sees the crashes has not seen a response to the shared part.
    void responsesBeforeCrashesAreTold()
    {
        CrashLedger ledger = makeLedger();
        CrashLedger other = makeLedger();
        other.recordResponse(hashes({shared}), start - seconds(9));
        for (unsigned n = 0; n < 2; ++n) {
            const Clock::TimePoint now = start + seconds(n);
            crash(ledger, "t" + std::to_string(n), {shared, faulty, 100 + n}, now);
            other.merge(ledger.takeNews(), now + milliseconds(100));
            const ContentEvidence answer = other.takeNews();
            CPPUNIT_ASSERT_EQUAL(std::size_t(n == 0 ? 1 : 0), answer.responses.size());
            ledger.merge(answer, now + milliseconds(200));
        }
        CPPUNIT_ASSERT(ledger.refuseNew(hashes({faulty}), start + seconds(2)));
        CPPUNIT_ASSERT(!ledger.refuseNew(hashes({shared}), start + seconds(2)));
    }

    /// A client repeats one request, so that the faulty part and the whole request have as many crashes.
    void contentWithResponsesIsNotBlamedForExplainedCrashes()
    {
        CrashLedger ledger = makeLedger();
        ledger.recordResponse(hashes({shared, 20}), start - seconds(1));
        for (unsigned n = 0; n < 4; ++n) {
            crash(ledger, "t" + std::to_string(n), {shared, 20, faulty, 100}, start + seconds(n));
            ledger.recordResponse(hashes({shared}), start + seconds(n) + milliseconds(100));
            CPPUNIT_ASSERT(!ledger.refuseNew(hashes({shared, 20}), start + seconds(n) + milliseconds(900)));
        }
        crash(ledger, "t4", {shared, 20, faulty, 101}, start + seconds(4));
        crash(ledger, "t5", {shared, 20, faulty, 102}, start + seconds(5));
        CPPUNIT_ASSERT(ledger.refuseNew(hashes({faulty}), start + seconds(6)));
        CPPUNIT_ASSERT(!ledger.refuseNew(hashes({shared, 20}), start + seconds(6)));
    }

    void repeatedRequestsAreQuarantinedAlone()
    {
        CrashLedger ledger = makeLedger();
        for (unsigned n = 0; n < 3; ++n) {
            crash(ledger, "t" + std::to_string(n), {20, 100}, start + seconds(n));
        }
        CPPUNIT_ASSERT(ledger.refuseNew(hashes({20, 100}), start + seconds(3)));
        CPPUNIT_ASSERT(!ledger.refuseNew(hashes({20, 101}), start + seconds(3)));
        CPPUNIT_ASSERT(ledger.refusesRepeats(hashes({20, 100})));
    }

    /// One target has a fault of its own, and a part is sent to no other.
    void crashesOfOneTargetCountHalf()
    {
        CrashLedger ledger = makeLedger();
        for (unsigned n = 0; n < 2; ++n) {
            crash(ledger, "t", {20, 100 + n}, start + seconds(n));
        }
        CPPUNIT_ASSERT(!ledger.refuseNew(hashes({20}), start + seconds(2)));
        crash(ledger, "other", {20, 102}, start + seconds(3));
        CPPUNIT_ASSERT(ledger.refuseNew(hashes({20}), start + seconds(4)));
    }

    /// Another daemon has seen a response before the decision, which is told only afterwards.
    void responsesAfterTheLastCrashLiftAQuarantine()
    {
        CrashLedger ledger = makeLedger();
        crash(ledger, "a", {20, 100}, start - seconds(1));
        crash(ledger, "b", {20, 101}, start);
        CPPUNIT_ASSERT(ledger.refuseNew(hashes({20}), start + seconds(1)));
        ContentEvidence evidence;
        evidence.responses.push_back({hashes({20}).front(), start + milliseconds(300)});
        ledger.merge(evidence, start + seconds(2));
        CPPUNIT_ASSERT(!ledger.refuseNew(hashes({20}), start + seconds(2)));
    }

    /// A sound and a faulty part are tried at the same time on one target.
    void companyOfATrialGetsAShortQuarantine()
    {
        CrashLedger ledger = makeLedger();
        for (unsigned n = 0; n < 5; ++n) {
            crash(ledger, "t" + std::to_string(n), {20, faulty}, start + seconds(n));
        }
        CPPUNIT_ASSERT(ledger.refuseNew(hashes({20}), start + seconds(5)) == seconds(10));
        const Clock::TimePoint trial = start + seconds(16);
        crash(ledger, "t5", {20, faulty, 100, 101}, trial);
        CPPUNIT_ASSERT(ledger.refuseNew(hashes({20}), trial) == seconds(10));
    }

    void crashesAndTheirResponsesArePassedOnTogether()
    {
        CrashLedger hub = makeLedger();
        ContentEvidence evidence;
        evidence.crashes.push_back({"a", start, hashes({20, 100})});
        evidence.responses.push_back({hashes({20}).front(), start + milliseconds(20)});
        const ContentEvidence news = hub.merge(evidence, start + milliseconds(100));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), news.crashes.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), news.responses.size());
    }

    /// Six daemons take requests with two quarantined parts. One request is tried in each period until a response comes.
    void daemonsTryInTurn()
    {
        std::vector<CrashLedger> ledgers;
        for (unsigned n = 0; n < 6; ++n) {
            ledgers.emplace_back(CrashLedger::Limits(),
                                 [n](std::uint64_t content, unsigned period) { return (content / 2 + period) % 6 == n; });
            crash(ledgers.back(), "a", {faulty}, start - seconds(4));
            crash(ledgers.back(), "b", {faulty}, start - seconds(3));
            crash(ledgers.back(), "c", {otherFaulty}, start - seconds(2));
            crash(ledgers.back(), "d", {otherFaulty}, start - seconds(1));
            CPPUNIT_ASSERT(ledgers.back().refuseNew(hashes({faulty, otherFaulty}), start));
        }
        unsigned tried = 0;
        for (Clock::TimePoint now = start; now < start + seconds(88); now += milliseconds(500)) {
            for (CrashLedger &it : ledgers) {
                tried += it.refuseNew(hashes({faulty, otherFaulty}), now) ? 0 : 1;
            }
        }
        CPPUNIT_ASSERT_EQUAL(6U, tried);
    }

    /// Targets crash every second for a minute, with random requests on them, while others respond.
    void ordinaryCrashesQuarantineNothingShared()
    {
        RandomEngine random(11);
        CrashLedger ledger = makeLedger();
        for (int n = 0; n < 60; ++n) {
            const Clock::TimePoint now = start + seconds(n);
            crash(ledger, "t" + std::to_string(n), {shared, 20 + random() % 8, 1'000U + static_cast<unsigned>(n)}, now);
            for (std::uint64_t group = 20; group < 28; ++group) {
                ledger.recordResponse(hashes({shared, group, 2'000U + static_cast<unsigned>(n)}), now + milliseconds(300));
            }
        }
        CPPUNIT_ASSERT(ledger.quarantines(start + minutes(1)).empty());
    }

    void quarantineEndsWithOneTrial()
    {
        CrashLedger ledger = makeLedger();
        CrashLedger other = makeLedger(false);
        for (CrashLedger *it : {&ledger, &other}) {
            crash(*it, "a", {faulty}, start - seconds(2));
            crash(*it, "b", {faulty}, start - seconds(1));
            CPPUNIT_ASSERT(it->refuseNew(hashes({faulty}), start) == minutes(1));
        }
        const Clock::TimePoint end = start + minutes(1);
        CPPUNIT_ASSERT(ledger.refuseNew(hashes({faulty}), end - milliseconds(1)));
        CPPUNIT_ASSERT(!ledger.refuseNew(hashes({faulty}), end));
        CPPUNIT_ASSERT(ledger.refuseNew(hashes({faulty}), end));
        CPPUNIT_ASSERT(!ledger.refuseSend(hashes({faulty}), end));
        CPPUNIT_ASSERT(other.refuseNew(hashes({faulty}), end + seconds(11)) == seconds(4));
        ledger.takeNews();
        ledger.recordResponse(hashes({faulty}), end + seconds(1));
        CPPUNIT_ASSERT(!ledger.refuseNew(hashes({faulty}), end + seconds(1)));
        other.merge(ledger.takeNews(), end + seconds(1));
        CPPUNIT_ASSERT(!other.refuseNew(hashes({faulty}), end + seconds(1)));
    }

    void failedTrialsDoubleTheQuarantine()
    {
        CrashLedger ledger = makeLedger();
        crash(ledger, "a", {faulty}, start - seconds(2));
        crash(ledger, "b", {faulty}, start - seconds(1));
        CPPUNIT_ASSERT(ledger.refuseNew(hashes({faulty}), start));
        const Clock::TimePoint trial = start + seconds(61);
        CPPUNIT_ASSERT(!ledger.refuseNew(hashes({faulty}), trial));
        crash(ledger, "c", {faulty}, trial);
        CPPUNIT_ASSERT(ledger.refuseNew(hashes({faulty}), trial) == minutes(2));
    }

    /// Three daemons see one crash each.
    void daemonsAgreeThroughEvidence()
    {
        std::vector<CrashLedger> ledgers{makeLedger(), makeLedger(), makeLedger()};
        for (std::size_t n = 0; n < ledgers.size(); ++n) {
            const Clock::TimePoint now = start + seconds(n);
            crash(ledgers[n], "t" + std::to_string(n), {shared, faulty, 100 + n}, now);
            ledgers[(n + 1) % ledgers.size()].recordResponse(hashes({shared, 200 + n}), now + milliseconds(300));
            for (std::size_t from = 0; from < ledgers.size(); ++from) {
                const ContentEvidence news = ledgers[from].takeNews();
                for (CrashLedger &it : ledgers) {
                    it.merge(news, now + milliseconds(400));
                }
            }
        }
        for (CrashLedger &it : ledgers) {
            CPPUNIT_ASSERT(it.refuseNew(hashes({shared, faulty}), start + seconds(4)));
            CPPUNIT_ASSERT(!it.refuseNew(hashes({shared, 300}), start + seconds(4)));
        }
        // Evidence that is known already is not passed on again.
        ContentEvidence known = ledgers[0].snapshot(start + seconds(4));
        ledgers[0].takeNews();
        CPPUNIT_ASSERT(ledgers[0].merge(known, start + seconds(4)).empty());
        CPPUNIT_ASSERT(ledgers[0].takeNews().empty());
    }

    void restartedDaemonsLearnFromASnapshot()
    {
        CrashLedger ledger = makeLedger();
        ledger.recordResponse(hashes({shared}), start - seconds(2));
        crash(ledger, "a", {shared, faulty}, start - seconds(1));
        crash(ledger, "b", {shared, faulty}, start);
        crash(ledger, "c", {shared, otherFaulty}, start);
        CrashLedger restarted = makeLedger();
        restarted.merge(ledger.snapshot(start + seconds(1)), start + seconds(1));
        CPPUNIT_ASSERT(restarted.refuseNew(hashes({faulty}), start + seconds(1)));
        CPPUNIT_ASSERT(!restarted.refuseNew(hashes({shared}), start + seconds(1)));
        crash(restarted, "d", {shared, otherFaulty}, start + seconds(2));
        CPPUNIT_ASSERT(restarted.refuseNew(hashes({otherFaulty}), start + seconds(3)));
    }

    void memoryIsBounded()
    {
        CrashLedger ledger = makeLedger();
        const CrashLedger::Limits limits;
        for (std::uint64_t n = 0; n < 2 * limits.maxContents; ++n) {
            ledger.recordResponse({2 * n}, start);
        }
        for (unsigned n = 0; n < 2 * limits.maxCrashes; ++n) {
            Contents contents;
            for (std::uint64_t it = 0; it < 2 * limits.maxContentsPerCrash; ++it) {
                contents.push_back(1'000'000ULL + n * 1'000ULL + it);
            }
            crash(ledger, "t" + std::to_string(n), contents, start + milliseconds(n));
        }
        CPPUNIT_ASSERT_EQUAL(limits.maxCrashes, ledger.crashCount());
        const ContentEvidence snapshot = ledger.snapshot(start + seconds(1));
        for (const CrashReport &it : snapshot.crashes) {
            CPPUNIT_ASSERT(it.contents.size() <= limits.maxContentsPerCrash);
        }
        ledger.merge({}, start + limits.memory + minutes(1));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), ledger.crashCount());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashLedgerTest);

} // namespace Guavalock
