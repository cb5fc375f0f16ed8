#include "Kernel/Counter.h"
#include "Kernel/Distribution.h"
#include "Kernel/Metrics.h"
#include "Kernel/PluginCatalogue.h"
#include "Kernel/RankedMutex.h"
#include "Kernel/ResultCode.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <fstream>
#include <set>
#include <sstream>

#include <sys/wait.h>
#include <unistd.h>

namespace Guavalock
{

class KernelTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(KernelTest);
    CPPUNIT_TEST(allPluginsAreLinked);
    CPPUNIT_TEST(everyResultCodeHasAnEntry);
    CPPUNIT_TEST(resultCodesMatchDocumentation);
    CPPUNIT_TEST(lockOrderViolationAborts);
    CPPUNIT_TEST(metricsAreExportedAsPrometheusText);
    CPPUNIT_TEST_SUITE_END();

public:
    void allPluginsAreLinked()
    {
        const PluginCatalogue &catalogue = PluginCatalogue::instance();
        CPPUNIT_ASSERT_EQUAL(std::size_t(5), catalogue.names("stage").size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(5), catalogue.names("dialect").size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), catalogue.names("policy").size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), catalogue.names("front-end").size());
        CPPUNIT_ASSERT(catalogue.contains("platform", "http"));
        CPPUNIT_ASSERT(catalogue.contains("report", "burn"));
    }

    void everyResultCodeHasAnEntry()
    {
        std::set<std::string> names;
        for (const ResultCodeInfo &it : resultCodes()) {
            CPPUNIT_ASSERT_EQUAL(std::string(it.name), std::string(resultCodeInfo(it.code).name));
            CPPUNIT_ASSERT(names.insert(std::string(it.name)).second);
        }
    }

    void resultCodesMatchDocumentation()
    {
        std::ifstream in(GUAVALOCK_SOURCE_DIR "/docs/RESULT-CODES.md");
        std::ostringstream page;
        page << in.rdbuf();
        for (const ResultCodeInfo &it : resultCodes()) {
            std::ostringstream row;
            row << "| " << resultNumber(it.code) << " | " << it.name << " | " << it.httpStatus << " | " << it.meaning << " |\n";
            CPPUNIT_ASSERT_MESSAGE("docs/RESULT-CODES.md lacks: " + row.str(), page.str().find(row.str()) != std::string::npos);
        }
        const std::string text = page.str();
        const std::size_t rows = static_cast<std::size_t>(std::count(text.begin(), text.end(), '\n'));
        CPPUNIT_ASSERT(rows > resultCodes().size());
    }

    void lockOrderViolationAborts()
    {
#ifdef GUAVALOCK_CHECK_LOCKS
        const pid_t child = fork();
        if (child == 0) {
            RankedMutex low(LockRank::Members);
            RankedMutex high(LockRank::Targets);
            const std::scoped_lock first(high);
            const std::scoped_lock second(low);
            _exit(0);
        }
        int status = 0;
        waitpid(child, &status, 0);
        CPPUNIT_ASSERT(WIFSIGNALED(status));
#endif
    }

    void metricsAreExportedAsPrometheusText()
    {
        Metrics metrics;
        metrics.counter("calls_total{code=\"0\"}").add(3);
        metrics.distribution("call_seconds").observe(std::chrono::milliseconds(250));
        const std::string text = metrics.prometheusText();
        CPPUNIT_ASSERT(text.find("guavalock_calls_total{code=\"0\"} 3\n") != std::string::npos);
        CPPUNIT_ASSERT(text.find("guavalock_call_seconds_count 1\n") != std::string::npos);
        CPPUNIT_ASSERT(text.find("guavalock_call_seconds_sum 0.25\n") != std::string::npos);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(KernelTest);

} // namespace Guavalock
