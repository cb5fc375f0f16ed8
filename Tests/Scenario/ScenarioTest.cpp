#include "Scenario/ScenarioCommand.h"

#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace Guavalock
{

class ScenarioTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ScenarioTest);
    CPPUNIT_TEST(everyScenarioHoldsAndPrintsTheExpectedOutput);
    CPPUNIT_TEST(randomFaultsViolateNoRule);
    CPPUNIT_TEST(disabledRulesAreDetected);
    CPPUNIT_TEST(unmetExpectationsAreReported);
    CPPUNIT_TEST_SUITE_END();

public:
    void everyScenarioHoldsAndPrintsTheExpectedOutput()
    {
        std::size_t files = 0;
        for (const auto &it : std::filesystem::directory_iterator(GUAVALOCK_SOURCE_DIR "/Scenarios")) {
            if (it.path().extension() != ".yaml") {
                continue;
            }
            ++files;
            std::ostringstream out;
            const bool holds = ScenarioCommand({1, false, {}}).run(it.path(), out);
            CPPUNIT_ASSERT_MESSAGE(out.str(), holds);
            std::filesystem::path expectedFile = it.path();
            expectedFile.replace_extension(".expected");
            std::ifstream in(expectedFile);
            std::ostringstream expected;
            expected << in.rdbuf();
            CPPUNIT_ASSERT_EQUAL(expected.str(), out.str());
        }
        CPPUNIT_ASSERT(files >= 10);
    }

    void randomFaultsViolateNoRule()
    {
        for (const char *name : {"random-faults", "random-faults-bookings"}) {
            std::ostringstream out;
            const std::string file = std::string(GUAVALOCK_SOURCE_DIR "/Scenarios/") + name + ".yaml";
            CPPUNIT_ASSERT_MESSAGE(out.str(), ScenarioCommand({40, false, {}}).run(file, out));
        }
    }

    void disabledRulesAreDetected()
    {
        struct Case {
            const char *scenario;
            const char *rule;
            const char *violation;
        };
        constexpr std::array cases = {
            Case{"cold-start-eight-senders", "cold-shares", "cold_exceeded is"},
            Case{"data-centre-out-and-back", "out-of-service", "after_out is"},
            Case{"target-leaves", "out-of-service", "after_out is"},
            Case{"bookings-under-lost-answers", "run-once", "ran_twice is"},
            Case{"bookings-under-lost-answers", "not-run", "not_run_false is"},
            Case{"poison-requests", "quarantine", "poison_excess is"},
        };
        const std::filesystem::path file = std::filesystem::temp_directory_path() / "guavalock-broken.yaml";
        for (const Case &it : cases) {
            std::ifstream in(std::string(GUAVALOCK_SOURCE_DIR "/Scenarios/") + it.scenario + ".yaml");
            std::ofstream(file) << in.rdbuf() << "breaks: [ " << it.rule << " ]\n";
            std::ostringstream out;
            const bool holds = ScenarioCommand({1, false, {}}).run(file, out);
            std::filesystem::remove(file);
            CPPUNIT_ASSERT_MESSAGE(std::string(it.rule) + ": " + out.str(), !holds);
            CPPUNIT_ASSERT_MESSAGE(std::string(it.rule) + ": " + out.str(), out.str().find(it.violation) != std::string::npos);
        }
    }

    void unmetExpectationsAreReported()
    {
        const std::filesystem::path file = std::filesystem::temp_directory_path() / "guavalock-unmet.yaml";
        std::ofstream(file) << "centres: [ { name: north } ]\ntargets: [ { pool: p, centre: north } ]\nstages: [ p ]\nduration: 2s\n"
                               "expect: [ { figure: attainment, most: 0.5 } ]\n";
        std::ostringstream out;
        const bool holds = ScenarioCommand({1, false, {}}).run(file, out);
        std::filesystem::remove(file);
        CPPUNIT_ASSERT(!holds);
        CPPUNIT_ASSERT_MESSAGE(out.str(), out.str().find("FAILED: attainment is") != std::string::npos);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ScenarioTest);

} // namespace Guavalock
