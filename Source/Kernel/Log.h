#pragma once

#include <initializer_list>
#include <string>
#include <string_view>

namespace Guavalock
{

/// Writes structured lines, one JSON object each, through log4cxx to standard output.
///
/// One line for each decision that ends a request or changes what the daemon believes. Never waits for the reader; lines beyond a
/// bound are dropped and counted.
class Log
{
public:
    struct Field {
        std::string_view key;
        std::string value;
    };

    /// Sets the name that every line of this process carries. Call once, before the first line.
    static void start(const std::string &vm);

    /// Writes an event of one part of the program. Fields without a value are left out.
    static void state(std::string_view part, std::string_view event, std::initializer_list<Field> fields);

    /// As state, for a change that an operator should look at.
    static void warning(std::string_view part, std::string_view event, std::initializer_list<Field> fields);
};

} // namespace Guavalock
