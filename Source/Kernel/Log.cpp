#include "Kernel/Log.h"

#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

#include <mutex>

namespace Guavalock
{

namespace
{

std::string quoted(const std::string &value)
{
    if (!value.empty() && value.find_first_of(" \"=\n\r\t") == std::string::npos) {
        return value;
    }
    std::string buf = "\"";
    for (const char it : value) {
        if (it == '"' || it == '\\') {
            buf += '\\';
        }
        buf += (it == '\n' || it == '\r') ? ' ' : it;
    }
    return buf + '"';
}

std::string line(std::string_view event, std::initializer_list<Log::Field> fields)
{
    std::string buf = "event=" + std::string(event);
    for (const Log::Field &it : fields) {
        buf += ' ';
        buf += it.key;
        buf += '=';
        buf += quoted(it.value);
    }
    return buf;
}

log4cxx::LoggerPtr logger(std::string_view part)
{
    return log4cxx::Logger::getLogger(std::string(part));
}

} // namespace

void Log::start(const std::string &vm)
{
    static std::once_flag once;
    std::call_once(once, [&] {
        const std::string pattern = "%d{yyyy-MM-dd'T'HH:mm:ss.SSSZ} %p vm=" + quoted(vm) + " part=%c %m%n";
        const auto layout = std::make_shared<log4cxx::PatternLayout>(pattern);
        const auto appender = std::make_shared<log4cxx::ConsoleAppender>(layout, log4cxx::ConsoleAppender::getSystemErr());
        log4cxx::BasicConfigurator::configure(appender);
    });
}

void Log::state(std::string_view part, std::string_view event, std::initializer_list<Field> fields)
{
    LOG4CXX_INFO(logger(part), line(event, fields));
}

void Log::warning(std::string_view part, std::string_view event, std::initializer_list<Field> fields)
{
    LOG4CXX_WARN(logger(part), line(event, fields));
}

} // namespace Guavalock
