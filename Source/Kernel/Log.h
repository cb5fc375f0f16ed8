#pragma once

#include <initializer_list>
#include <string>
#include <string_view>

namespace Guavalock
{

/// Structured logging through log4cxx to standard output, one JSON object per line.
///
/// A line is written for each decision that ends a request or changes the daemon's view of the cluster. Logging never blocks on
/// the reader: lines that exceed the queue limit are dropped and counted.
class Log
{
public:
    struct Field {
        std::string_view key;
        std::string value;
    };

    /// Installs the JSON appender. The VM name is added to every line of this process. Call once, before the first line is logged.
    static void start(const std::string &vm);

    /// Logs an event of a component at level INFO. Fields with an empty value are omitted.
    static void info(std::string_view part, std::string_view event, std::initializer_list<Field> fields);

    /// Logs an event that needs an operator's attention at level WARN.
    static void warning(std::string_view part, std::string_view event, std::initializer_list<Field> fields);
};

} // namespace Guavalock
