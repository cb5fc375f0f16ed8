#pragma once

#include <boost/json/object.hpp>

#include <chrono>
#include <istream>
#include <string>
#include <string_view>
#include <vector>

namespace Guavalock
{

/// Tells from the logs of any number of daemons what became of one request, and why.
class LogExplainer
{
public:
    /// Adds the lines of one log. Text before a line's object, such as a collector's time stamp, is passed over, and so are lines
    /// without an object.
    void read(std::istream &in);

    /// Returns the request's story: its end, the cause, and every line that names it, in order of time. Empty when no line does.
    std::string story(const std::string &id) const;

    /// As story, as a JSON object with "cause" and "lines".
    boost::json::object json(const std::string &id) const;

private:
    using TimePoint = std::chrono::system_clock::time_point;

    struct Line {
        TimePoint time;
        boost::json::object fields;
    };

    using Lines = std::vector<const Line *>;
    using Cause = std::string (LogExplainer::*)(const Line &end, const Lines &own) const;

    /// Which cause fits an end, by its outcome and result code; the first that fits is asked.
    struct Rule {
        std::string_view outcome;
        std::string_view code; ///< Empty for any.
        Cause cause;
    };

    static const std::vector<Rule> &rules();
    static std::string field(const Line &line, std::string_view name);
    static std::string described(const Line &line);

    Lines linesOf(const std::string &id) const;
    /// Returns the lines of an event within a second before and after a time at which a field has a value.
    Lines around(TimePoint time, std::string_view event, std::string_view name, const std::string &value) const;
    std::string causeOf(const Lines &own) const;

    std::string overloaded(const Line &end, const Lines &own) const;
    std::string stageFailed(const Line &end, const Lines &own) const;
    std::string targetBroke(const Line &end, const Lines &own) const;
    std::string answered(const Line &end, const Lines &own) const;
    std::string asStated(const Line &end, const Lines &own) const;

    std::vector<Line> m_lines;
};

} // namespace Guavalock
