#include "Fleet/CatalogueTable.h"
#include "Fleet/FleetFollower.h"
#include "Fleet/FleetTable.h"
#include "Fleet/MemberRecord.h"
#include "Fleet/RecordMirror.h"
#include "Fleet/RecordStore.h"
#include "Kernel/Metrics.h"
#include "Kernel/Registry.h"
#include "Kernel/SystemClock.h"
#include "Site/Site.h"

#include <boost/asio/io_context.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace Guavalock
{

namespace Asio = boost::asio;

/// How a daemon follows the store and the daemon that reads for it.
class FollowerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(FollowerTest);
    CPPUNIT_TEST(removalsFromAPeerAreCarriedOutAfterAnOutage);
    CPPUNIT_TEST_SUITE_END();

    using Milliseconds = std::chrono::milliseconds;

    static constexpr const char *value
        = R"({"service":"plain","address":"127.0.0.1:1000","zone":"north","state":"ready","cold_remaining_ms":0,"born":1})";

    /// A store with two targets that answers or does not.
    class StubStore : public RecordStore
    {
    public:
        explicit StubStore(const bool &answers)
            : m_answers(answers)
        {
        }

        Asio::awaitable<std::optional<Newest>> newest(Topic topic, Milliseconds) override
        {
            if (!m_answers) {
                co_return std::nullopt;
            }
            Newest newest;
            if (topic == Topic::Targets) {
                newest.records = {{"t1", value, 1}, {"t2", value, 2}};
            }
            newest.next = 3;
            co_return newest;
        }

        Asio::awaitable<Read> read(Topic, std::uint64_t from, Milliseconds, Milliseconds) override
        {
            Read read;
            read.end = m_answers ? ReadEnd::Read : ReadEnd::Failed;
            read.next = from;
            co_return read;
        }

        Asio::awaitable<PutEnd> put(Topic, std::string, std::optional<std::string>, Milliseconds) override
        {
            co_return PutEnd::Written;
        }

    private:
        const bool &m_answers;
    };

public:
    void removalsFromAPeerAreCarriedOutAfterAnOutage()
    {
        Asio::io_context context;
        SystemClock clock;
        RecordMirror mirror;
        CatalogueTable catalogue;
        FleetTable fleet("self");
        Metrics metrics;
        const std::unique_ptr<Site> site = Registry<Site>::instance().create("platform");
        bool answers = false;
        bool peerReads = false;
        FleetFollower::Events events;
        events.askPeers = [](Topic, std::uint64_t) {
        };
        events.member = [](const MemberRecord &) {
        };
        events.memberLeft = [](const std::string &) {
        };
        events.reader = [&](Topic) {
            return peerReads ? std::string("peer") : std::string();
        };
        std::unique_ptr<FleetFollower> follower;
        events.askReader = [&](const std::string &, Topic topic, std::uint64_t) {
            RecordUpdate update{topic, {}, 4, clock.now(), false};
            if (topic == Topic::Targets) {
                update.records = {{"t1", std::nullopt, 3}};
            }
            follower->takeFromPeer(update);
            return true;
        };
        follower = std::make_unique<FleetFollower>(
            context.get_executor(), FleetFollower::Parts{clock, mirror, catalogue, fleet, site->recordCodec(), metrics}, std::move(events),
            [&](const Asio::any_io_executor &) { return std::make_unique<StubStore>(answers); });
        follower->start(MemberRecord());
        context.run_for(Milliseconds(400));
        answers = true;
        context.run_for(Milliseconds(900));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), fleet.size());
        peerReads = true;
        context.run_for(Milliseconds(1'000));
        // The record may be back within two seconds of the store's return; until then other targets are preferred.
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), fleet.usable("plain", clock.now()).size());
        context.run_for(Milliseconds(1'500));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), fleet.size());
        follower->stop();
        context.run_for(Milliseconds(1'100));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FollowerTest);

} // namespace Guavalock
