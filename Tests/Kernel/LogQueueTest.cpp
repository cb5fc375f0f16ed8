#include "Kernel/LogQueue.h"

#include <cppunit/extensions/HelperMacros.h>

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <memory>
#include <thread>

namespace Guavalock
{

class LogQueueTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LogQueueTest);
    CPPUNIT_TEST(stalledReaderBlocksNeitherPushNorShutdown);
    CPPUNIT_TEST(droppedLinesAreCounted);
    CPPUNIT_TEST_SUITE_END();

    using Clock = std::chrono::steady_clock;

    static constexpr int lineCount = 20'000; ///< About one minute of output of a busy daemon; more than the queue and the pipe can hold.

    std::array<int, 2> m_pipe{};

    static std::string line()
    {
        return std::string(120, 'x') + '\n';
    }

public:
    void setUp() override
    {
        CPPUNIT_ASSERT_EQUAL(0, ::pipe(m_pipe.data()));
    }

    void tearDown() override
    {
        for (const int it : m_pipe) {
            ::close(it);
        }
    }

    void stalledReaderBlocksNeitherPushNorShutdown()
    {
        auto queue = std::make_unique<LogQueue>(m_pipe[1]);
        Clock::duration longest{};
        for (int it = 0; it < lineCount; ++it) {
            const Clock::time_point start = Clock::now();
            queue->push(line());
            longest = std::max(longest, Clock::now() - start);
        }
        CPPUNIT_ASSERT(longest < std::chrono::milliseconds(100));
        CPPUNIT_ASSERT(queue->dropped() > 0);
        std::this_thread::sleep_for(std::chrono::milliseconds(500)); // By now, the writer thread is waiting on the full pipe.
        const Clock::time_point start = Clock::now();
        queue.reset();
        CPPUNIT_ASSERT(Clock::now() - start < std::chrono::seconds(2));
    }

    void droppedLinesAreCounted()
    {
        auto queue = std::make_unique<LogQueue>(m_pipe[1]);
        for (int it = 0; it < lineCount; ++it) {
            queue->push(line());
        }
        const std::uint64_t dropped = queue->dropped();
        CPPUNIT_ASSERT(dropped > 0);
        ::fcntl(m_pipe[0], F_SETFL, O_NONBLOCK);
        std::string text;
        std::array<char, 65'536> buf{};
        const auto expected = "\"log-lines-dropped\",\"count\":" + std::to_string(dropped);
        const Clock::time_point end = Clock::now() + std::chrono::seconds(5);
        while (text.find(expected) == std::string::npos && Clock::now() < end) {
            const ssize_t n = ::read(m_pipe[0], buf.data(), buf.size());
            text.append(buf.data(), n > 0 ? static_cast<std::size_t>(n) : 0);
        }
        CPPUNIT_ASSERT(text.find(expected) != std::string::npos);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LogQueueTest);

} // namespace Guavalock
