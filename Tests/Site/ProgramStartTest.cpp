#include "FakeAddress.h"
#include "ProgramSettings.h"
#include "SiteFleet.h"
#include "SoakClient.h"
#include "SoakProcess.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <thread>

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

namespace Guavalock
{

namespace Asio = boost::asio;

using std::chrono::milliseconds;

/// Starts the real program under conditions that ended it, or kept it from starting.
class ProgramStartTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ProgramStartTest);
    CPPUNIT_TEST(reloadSignalsDuringTheStartDoNotEndTheProgram);
    CPPUNIT_TEST(stopSignalsDuringTheStartEndTheProgramCleanly);
    CPPUNIT_TEST(takenMetricsAddressesDoNotPreventTheStart);
    CPPUNIT_TEST(settingsMayBeCompletedAfterTheStart);
    CPPUNIT_TEST(incompleteSettingsEndTheProgramWithItsStatus);
    CPPUNIT_TEST(successorsWaitForAStoppingDaemon);
    CPPUNIT_TEST(stopSignalsEndTheWaitForAnAddress);
    CPPUNIT_TEST_SUITE_END();

    std::filesystem::path m_folder;
    std::unique_ptr<SiteFleet> m_fleet;

    std::filesystem::path settingsFile() const
    {
        return m_folder / "vm-0.json";
    }

    void writeSettings() const
    {
        std::ofstream(settingsFile()) << ProgramSettings::text("vm-0");
    }

    std::unique_ptr<SoakProcess> startProgram() const
    {
        const std::filesystem::path program = std::filesystem::read_symlink("/proc/self/exe").parent_path() / "guavalockd";
        auto process = std::make_unique<SoakProcess>(program, settingsFile(), m_folder / "log");
        process->start();
        return process;
    }

    static bool serves()
    {
        return SiteFleet::waitFor([] {
            return SoakClient({FakeAddress::text(), ProgramSettings::callerPort}).send(SoakClient::Kind::Idempotent, "first", "k1").status
                == 200;
        });
    }

    static std::optional<int> awaitExit(SoakProcess &process)
    {
        std::optional<int> status;
        SiteFleet::waitFor([&] {
            status = process.pollExitStatus();
            return status.has_value();
        });
        return status;
    }

    static Asio::ip::tcp::endpoint endpoint(std::uint16_t port)
    {
        return {Asio::ip::make_address(FakeAddress::text()), port};
    }

    /// Starts the program with a pipe as its settings file, sends it a signal while it reads, and then completes the settings.
    std::unique_ptr<SoakProcess> signalDuringTheStart(int signal) const
    {
        const std::string pipe = settingsFile();
        CPPUNIT_ASSERT_EQUAL(0, ::mkfifo(pipe.c_str(), 0600));
        std::unique_ptr<SoakProcess> process = startProgram();
        int writer = -1;
        // Fails until the program reads.
        SiteFleet::waitFor([&] {
            writer = ::open(pipe.c_str(), O_WRONLY | O_NONBLOCK | O_CLOEXEC);
            return writer >= 0;
        });
        CPPUNIT_ASSERT(writer >= 0);
        process->sendSignal(signal);
        std::filesystem::remove(settingsFile());
        writeSettings(); // For later reads.
        const std::string text = ProgramSettings::text("vm-0");
        const ssize_t n = ::write(writer, text.data(), text.size());
        ::close(writer);
        CPPUNIT_ASSERT_EQUAL(static_cast<ssize_t>(text.size()), n);
        return process;
    }

public:
    void setUp() override
    {
        m_folder = std::filesystem::temp_directory_path() / ("guavalock-program-start-" + std::to_string(::getpid()));
        std::filesystem::create_directories(m_folder);
        m_fleet = std::make_unique<SiteFleet>(0);
        m_fleet->start();
    }

    void tearDown() override
    {
        m_fleet.reset();
        std::filesystem::remove_all(m_folder);
    }

    /// SIGHUP ended the program if it arrived before the settings were read and the plug-ins loaded.
    void reloadSignalsDuringTheStartDoNotEndTheProgram()
    {
        const std::unique_ptr<SoakProcess> process = signalDuringTheStart(SIGHUP);
        CPPUNIT_ASSERT(serves());
        CPPUNIT_ASSERT(!process->pollExitStatus());
    }

    /// A planned stop at that time ended the program by the signal, which a platform takes for a crash.
    void stopSignalsDuringTheStartEndTheProgramCleanly()
    {
        const std::unique_ptr<SoakProcess> process = signalDuringTheStart(SIGTERM);
        const std::optional<int> status = awaitExit(*process);
        CPPUNIT_ASSERT(status);
        CPPUNIT_ASSERT_EQUAL(0, *status);
    }

    /// Of two daemons with one IP the second ended at its start, as the port of the metrics is the same.
    void takenMetricsAddressesDoNotPreventTheStart()
    {
        Asio::io_context context;
        Asio::ip::tcp::acceptor other(context, endpoint(ProgramSettings::metricsPort));
        writeSettings();
        const std::unique_ptr<SoakProcess> process = startProgram();
        CPPUNIT_ASSERT(serves());
        other.close();
        Asio::ip::tcp::socket scraper(context);
        const bool served = SiteFleet::waitFor([&] {
            boost::system::error_code ec;
            scraper.close(ec);
            scraper.connect(endpoint(ProgramSettings::metricsPort), ec);
            return !ec;
        });
        CPPUNIT_ASSERT_MESSAGE("metrics are not served after the address became free", served);
    }

    /// The program ended when it started before its settings were complete.
    void settingsMayBeCompletedAfterTheStart()
    {
        const std::string text = ProgramSettings::text("vm-0");
        std::ofstream file(settingsFile());
        file << text.substr(0, text.size() / 2) << std::flush;
        const std::unique_ptr<SoakProcess> process = startProgram();
        std::this_thread::sleep_for(milliseconds(300));
        file << text.substr(text.size() / 2) << std::flush;
        CPPUNIT_ASSERT(serves());
    }

    void incompleteSettingsEndTheProgramWithItsStatus()
    {
        std::ofstream(settingsFile()) << "{\"node_name\":";
        const std::unique_ptr<SoakProcess> process = startProgram();
        const std::optional<int> status = awaitExit(*process);
        CPPUNIT_ASSERT(status);
        CPPUNIT_ASSERT_EQUAL(5, *status);
    }

    /// A daemon that was started while its predecessor still stopped ended at once, as its addresses were in use.
    void successorsWaitForAStoppingDaemon()
    {
        writeSettings();
        const std::unique_ptr<SoakProcess> first = startProgram();
        CPPUNIT_ASSERT(serves());
        first->sendSignal(SIGTERM);
        const std::unique_ptr<SoakProcess> second = startProgram();
        const std::optional<int> status = awaitExit(*first);
        CPPUNIT_ASSERT(status);
        CPPUNIT_ASSERT_EQUAL(0, *status);
        CPPUNIT_ASSERT(serves());
        CPPUNIT_ASSERT(!second->pollExitStatus());
    }

    void stopSignalsEndTheWaitForAnAddress()
    {
        Asio::io_context context;
        const Asio::ip::tcp::acceptor other(context, endpoint(ProgramSettings::callerPort));
        writeSettings();
        const std::unique_ptr<SoakProcess> process = startProgram();
        std::this_thread::sleep_for(milliseconds(500));
        CPPUNIT_ASSERT(!process->pollExitStatus());
        process->sendSignal(SIGTERM);
        const std::optional<int> status = awaitExit(*process);
        CPPUNIT_ASSERT(status);
        CPPUNIT_ASSERT_EQUAL(0, *status);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ProgramStartTest);

} // namespace Guavalock
