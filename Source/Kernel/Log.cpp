#include "Kernel/Log.h"

#include "Kernel/LogQueue.h"

#include <log4cxx/appenderskeleton.h>
#include <log4cxx/basicconfigurator.h>
#include <log4cxx/logger.h>
#include <log4cxx/spi/loggingevent.h>

#include <unistd.h>

#include <array>
#include <cstdio>
#include <ctime>
#include <memory>
#include <mutex>

namespace Guavalock
{

namespace
{

std::string jsonQuoted(std::string_view text)
{
    std::string buf = "\"";
    for (const char it : text) {
        if (it == '"' || it == '\\') {
            buf += '\\';
            buf += it;
        } else if (static_cast<unsigned char>(it) < 0x20U) {
            buf += ' ';
        } else {
            buf += it;
        }
    }
    return buf + '"';
}

std::string jsonMember(std::string_view key, std::string_view value)
{
    return ',' + jsonQuoted(key) + ':' + jsonQuoted(value);
}

std::string formatFields(std::string_view event, std::initializer_list<Log::Field> fields)
{
    std::string buf = jsonMember("event", event);
    for (const Log::Field &it : fields) {
        if (!it.value.empty()) {
            buf += jsonMember(it.key, it.value);
        }
    }
    return buf;
}

/// Formats a time of day as ISO 8601 in UTC, with milliseconds.
std::string formatTime(log4cxx::log4cxx_time_t microseconds)
{
    constexpr log4cxx::log4cxx_time_t perSecond = 1'000'000;
    constexpr log4cxx::log4cxx_time_t perMillisecond = 1'000;
    const auto seconds = static_cast<std::time_t>(microseconds / perSecond);
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    std::array<char, 40> buf{};
    const std::size_t n = std::strftime(buf.data(), buf.size(), "%Y-%m-%dT%H:%M:%S", &parts);
    const auto milliseconds = static_cast<int>(microseconds % perSecond / perMillisecond);
    std::snprintf(buf.data() + n, buf.size() - n, ".%03dZ", milliseconds);
    return buf.data();
}

/// Writes log events to standard output as JSON lines, without blocking on a slow reader.
class JsonLineAppender : public log4cxx::AppenderSkeleton
{
public:
    explicit JsonLineAppender(std::string vm)
        : m_vm(std::move(vm))
        , m_queue(STDOUT_FILENO)
    {
    }

    void append(const log4cxx::spi::LoggingEventPtr &event, log4cxx::helpers::Pool &) override
    {
        std::string level;
        event->getLevel()->toString(level);
        std::string line = "{\"time\":" + jsonQuoted(formatTime(event->getTimeStamp()));
        line += jsonMember("level", level) + jsonMember("vm", m_vm) + jsonMember("part", event->getLoggerName());
        m_queue.push(line + event->getRenderedMessage() + "}\n");
    }

    void close() override
    {
    }

    bool requiresLayout() const override
    {
        return false;
    }

private:
    std::string m_vm;
    LogQueue m_queue;
};

log4cxx::LoggerPtr logger(std::string_view part)
{
    return log4cxx::Logger::getLogger(std::string(part));
}

} // namespace

void Log::start(const std::string &vm)
{
    static std::once_flag once;
    std::call_once(once, [&] { log4cxx::BasicConfigurator::configure(std::make_shared<JsonLineAppender>(vm)); });
}

void Log::info(std::string_view part, std::string_view event, std::initializer_list<Field> fields)
{
    LOG4CXX_INFO(logger(part), formatFields(event, fields));
}

void Log::warning(std::string_view part, std::string_view event, std::initializer_list<Field> fields)
{
    LOG4CXX_WARN(logger(part), formatFields(event, fields));
}

} // namespace Guavalock
