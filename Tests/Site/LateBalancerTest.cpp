#include "FakeAddress.h"
#include "ProgramSettings.h"
#include "SiteFleet.h"
#include "SoakClient.h"
#include "SoakProcess.h"

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <mutex>
#include <thread>

#include <unistd.h>

namespace Guavalock
{

using std::chrono::milliseconds;

/// Stops the real program while its only callers go on sending, as behind a balancer that doesn't notice.
class LateBalancerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LateBalancerTest);
    CPPUNIT_TEST(lateRequestsAreAnsweredInAPlannedStop);
    CPPUNIT_TEST_SUITE_END();

    std::filesystem::path m_folder;
    std::mutex m_mutex;
    std::vector<SoakClient::Result> m_results;
    std::atomic<bool> m_ended{false};

    void sendUntilTheEnd(const std::string &name, SoakClient::Kind kind)
    {
        SoakClient client({FakeAddress::text(), ProgramSettings::callerPort});
        for (int n = 0; !m_ended; ++n) {
            const SoakClient::Result result = client.send(kind, name + '.' + std::to_string(n), "k1");
            const std::scoped_lock lock(m_mutex);
            m_results.push_back(result);
            std::this_thread::sleep_for(milliseconds(20));
        }
    }

public:
    void setUp() override
    {
        m_folder = std::filesystem::temp_directory_path() / ("guavalock-late-balancer-" + std::to_string(::getpid()));
        std::filesystem::create_directories(m_folder);
        std::ofstream(m_folder / "vm-0.json") << ProgramSettings::text("vm-0");
    }

    void tearDown() override
    {
        std::filesystem::remove_all(m_folder);
    }

    /// A request takes 0.3 s, a stream 1.5 s. A connection may be closed without an answer only if its request hasn't been passed on.
    void lateRequestsAreAnsweredInAPlannedStop()
    {
        SiteFleet fleet(0);
        fleet.start();
        for (const std::string name : {"plain-1", "plain-2", "model-1", "model-2"}) {
            fleet.target(name).setServiceTime(milliseconds(300));
        }
        const std::filesystem::path program = std::filesystem::read_symlink("/proc/self/exe").parent_path() / "guavalockd";
        SoakProcess daemon(program, m_folder / "vm-0.json", m_folder / "log");
        daemon.start();
        CPPUNIT_ASSERT(SiteFleet::waitFor([] {
            return SoakClient({FakeAddress::text(), ProgramSettings::callerPort}).send(SoakClient::Kind::Idempotent, "first", "k1").status
                == 200;
        }));
        std::vector<std::thread> clients;
        for (const auto &[name, kind] :
             {std::pair("safe", SoakClient::Kind::Idempotent), std::pair("once", SoakClient::Kind::NonIdempotent),
              std::pair("stream", SoakClient::Kind::Streaming)}) {
            for (int it = 0; it < 3; ++it) {
                clients.emplace_back(&LateBalancerTest::sendUntilTheEnd, this, name + std::to_string(it), kind);
            }
        }
        std::this_thread::sleep_for(milliseconds(2'500));
        daemon.sendSignal(SIGTERM);
        std::optional<int> status;
        const bool ended = SiteFleet::waitFor([&] {
            status = daemon.pollExitStatus();
            return status.has_value();
        });
        m_ended = true;
        for (std::thread &it : clients) {
            it.join();
        }
        CPPUNIT_ASSERT_MESSAGE("the daemon did not end in time", ended);
        CPPUNIT_ASSERT_EQUAL(0, *status);
        std::size_t answered = 0;
        for (const SoakClient::Result &it : m_results) {
            const bool passedOn = fleet.executionCount(it.id) > 0;
            CPPUNIT_ASSERT_MESSAGE(it.id + " was passed on and cut", it.complete || !passedOn);
            CPPUNIT_ASSERT_MESSAGE(it.id + " was refused and has run", it.status != 503 || !passedOn);
            answered += it.status == 200 ? 1 : 0;
        }
        CPPUNIT_ASSERT(answered > 40);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LateBalancerTest);

} // namespace Guavalock
