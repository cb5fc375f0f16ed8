#pragma once

#include <initializer_list>
#include <string>
#include <string_view>

namespace Guavalock
{

/// Writes one structured line for each change of state, through log4cxx, to standard error.
///
/// Events that happen once a request are counted in Metrics and not logged. Values that hold blanks or quotes are quoted.
class Log
{
public:
    struct Field {
        std::string_view key;
        std::string value;
    };

    /// Sets the name that every line of this process carries. Call once, before the first line.
    static void start(const std::string &vm);

    /// Writes `event=<event> key=value …` on behalf of one part of the program.
    static void state(std::string_view part, std::string_view event, std::initializer_list<Field> fields);

    /// As state, for a change that an operator should look at.
    static void warning(std::string_view part, std::string_view event, std::initializer_list<Field> fields);
};

} // namespace Guavalock
