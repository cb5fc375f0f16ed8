#pragma once

#include <boost/json/object.hpp>

#include <chrono>
#include <istream>
#include <string>
#include <string_view>
#include <vector>

namespace Guavalock
{

/// Explains the outcome of a request and its cause from the logs of any number of daemons.
class LogExplainer
{
public:
    /// Reads a log with one JSON object per line. Ignores text before the object, such as a collector's timestamp, and lines without
    /// an object.
    void read(std::istream &in);

    /// Returns the cause of the request's outcome and every line that mentions it, ordered by time. Empty if there are none.
    std::string explain(const std::string &id) const;

    /// Same as explain(), as a JSON object with "id", "cause" and "lines".
    boost::json::object explainJson(const std::string &id) const;

private:
    using TimePoint = std::chrono::system_clock::time_point;

    struct Line {
        TimePoint time;
        boost::json::object fields;
    };

    using Lines = std::vector<const Line *>;
    using Cause = std::string (LogExplainer::*)(const Line &end, const Lines &requestLines) const;

    /// Maps an outcome and result code to the function that determines the cause; the first match applies.
    struct Rule {
        std::string_view outcome; ///< Empty for any.
        std::string_view code; ///< Empty for any.
        Cause cause;
    };

    static const std::vector<Rule> &rules();
    static std::string field(const Line &line, std::string_view name);
    static std::string formatLine(const Line &line);

    Lines findRequestLines(const std::string &id) const;
    /// Returns lines of an event at most one second from a time; unless name is empty, only those where that field has the value.
    Lines findLinesNear(TimePoint time, std::string_view event, std::string_view name, const std::string &value) const;
    std::string findCause(const Lines &requestLines) const;

    std::string overloaded(const Line &end, const Lines &requestLines) const;
    std::string stageFailed(const Line &end, const Lines &requestLines) const;
    std::string targetFailed(const Line &end, const Lines &requestLines) const;
    std::string answered(const Line &end, const Lines &requestLines) const;
    std::string statedReason(const Line &end, const Lines &requestLines) const;

    std::vector<Line> m_lines;
};

} // namespace Guavalock
