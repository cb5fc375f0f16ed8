#include "Tool/LogExplainer.h"

#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <charconv>
#include <ctime>
#include <iomanip>
#include <map>
#include <optional>
#include <sstream>

namespace Guavalock
{

namespace Json = boost::json;

namespace
{

constexpr std::chrono::seconds correlationWindow{
    1}; ///< Log lines of a target or service this close to a request's end are considered related.
constexpr std::size_t millisecondDigits = 3;

/// Parses the time of a log line, such as 2026-01-10T08:37:38.118Z. Returns the epoch if it is malformed.
std::chrono::system_clock::time_point parseTime(const std::string &text)
{
    std::tm date{};
    std::istringstream in(text);
    in >> std::get_time(&date, "%Y-%m-%dT%H:%M:%S");
    if (in.fail()) {
        return {};
    }
    auto time = std::chrono::system_clock::from_time_t(::timegm(&date));
    const std::size_t point = text.find('.');
    unsigned milliseconds = 0;
    if (point != std::string::npos && text.size() > point + millisecondDigits) {
        std::from_chars(text.data() + point + 1, text.data() + point + 1 + millisecondDigits, milliseconds);
    }
    return time + std::chrono::milliseconds(milliseconds);
}

std::optional<long> number(const std::string &text)
{
    long value = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value);
    return ec == std::errc() && !text.empty() ? std::optional(value) : std::nullopt;
}

} // namespace

void LogExplainer::read(std::istream &in)
{
    std::string text;
    while (std::getline(in, text)) {
        const std::size_t begin = text.find('{');
        const std::size_t end = text.rfind('}');
        if (begin == std::string::npos || end == std::string::npos || end < begin) {
            continue;
        }
        boost::system::error_code ec;
        Json::value value = Json::parse(std::string_view(text).substr(begin, end - begin + 1), ec);
        if (!ec && value.is_object()) {
            Line line{{}, std::move(value.get_object())};
            line.time = parseTime(field(line, "time"));
            m_lines.push_back(std::move(line));
        }
    }
}

std::string LogExplainer::field(const Line &line, std::string_view name)
{
    const Json::value *value = line.fields.if_contains(name);
    if (value == nullptr) {
        return {};
    }
    return value->is_string() ? std::string(value->get_string()) : Json::serialize(*value);
}

std::string LogExplainer::formatLine(const Line &line)
{
    std::string text = field(line, "time") + "  " + field(line, "vm") + "  " + field(line, "part") + "/" + field(line, "event");
    for (const auto &it : line.fields) {
        const std::string_view name = it.key();
        if (name != "time" && name != "vm" && name != "part" && name != "event" && name != "level" && name != "id") {
            text += "  " + std::string(name) + "=" + field(line, name);
        }
    }
    return text;
}

LogExplainer::Lines LogExplainer::findRequestLines(const std::string &id) const
{
    Lines found;
    for (const Line &it : m_lines) {
        if (field(it, "id") == id || field(it, "first_request") == id) {
            found.push_back(&it);
        }
    }
    std::ranges::stable_sort(found, {}, [](const Line *it) { return it->time; });
    return found;
}

LogExplainer::Lines LogExplainer::findLinesNear(TimePoint time, std::string_view event, std::string_view name,
                                                const std::string &value) const
{
    Lines found;
    for (const Line &it : m_lines) {
        const bool close = it.time >= time - correlationWindow && it.time <= time + correlationWindow;
        if (close && field(it, "event") == event && (name.empty() || field(it, name) == value)) {
            found.push_back(&it);
        }
    }
    return found;
}

const std::vector<LogExplainer::Rule> &LogExplainer::rules()
{
    static const std::vector<Rule> table{{"refused", "Overloaded", &LogExplainer::overloaded},
                                         {"refused", "StageUnavailable", &LogExplainer::stageFailed},
                                         {"refused", "OutcomeUnknown", &LogExplainer::targetFailed},
                                         {"refused", "DeadlineExceeded", &LogExplainer::answered},
                                         {"cut", "", &LogExplainer::targetFailed},
                                         {"answered", "", &LogExplainer::answered},
                                         {"", "", &LogExplainer::statedReason}};
    return table;
}

std::string LogExplainer::findCause(const Lines &requestLines) const
{
    const auto end = std::ranges::find_if(requestLines, [](const Line *it) { return field(*it, "event") == "request"; });
    if (end == requestLines.end()) {
        return "no log line records its outcome; the daemon that accepted it may have crashed, or its log is missing";
    }
    const std::string outcome = field(**end, "outcome");
    const std::string code = field(**end, "code");
    const auto rule = std::ranges::find_if(
        rules(), [&](const Rule &it) { return (it.outcome.empty() || it.outcome == outcome) && (it.code.empty() || it.code == code); });
    return (this->*rule->cause)(**end, requestLines);
}

std::string LogExplainer::statedReason(const Line &end, const Lines &) const
{
    const std::string reason = field(end, "reason");
    return reason.empty() ? "its final log line gives no reason" : reason;
}

std::string LogExplainer::overloaded(const Line &end, const Lines &requestLines) const
{
    for (const Line *it : requestLines) {
        if (field(*it, "part") == "admission" && field(*it, "event") == "refused") {
            return "at its arrival, a piece would have waited " + field(*it, "wait_ms") + " ms at service " + field(*it, "service")
                + "; the response was expected after " + field(*it, "expected_ms") + " ms with " + field(*it, "left_ms") + " ms left";
        }
        if (field(*it, "part") == "batching" && field(*it, "event") == "refused") {
            return "service " + field(*it, "service") + " had " + field(*it, "queued") + " pieces queued for " + field(*it, "targets")
                + " targets; its stages were expected to take " + field(*it, "expected_ms") + " ms with " + field(*it, "wanted_in_ms")
                + " ms left";
        }
    }
    return statedReason(end, requestLines);
}

std::string LogExplainer::stageFailed(const Line &end, const Lines &requestLines) const
{
    std::map<std::string, std::size_t> failures;
    for (const Line *it : findLinesNear(end.time, "call-failed", {}, {})) {
        ++failures[field(*it, "service") + " at target " + field(*it, "target") + " (" + field(*it, "end") + ")"];
    }
    std::string text = statedReason(end, requestLines);
    for (const auto &[where, n] : failures) {
        text += "; " + std::to_string(n) + " failed calls to " + where;
    }
    return text;
}

std::string LogExplainer::targetFailed(const Line &end, const Lines &requestLines) const
{
    const std::string target = field(end, "target");
    std::string text
        = field(end, "outcome") == "cut" ? "the stream from target " + target + " was interrupted" : statedReason(end, requestLines);
    std::size_t others = 0;
    for (const std::string_view event : {"request", "repeat"}) {
        for (const Line *it : findLinesNear(end.time, event, "target", target)) {
            const bool lost = event == "repeat" || field(*it, "code") == "OutcomeUnknown" || field(*it, "outcome") == "cut";
            others += lost && field(*it, "id") != field(end, "id") ? 1 : 0;
        }
    }
    text += "; " + std::to_string(others) + " other requests lost this target's answer within 1 s";
    for (const std::string_view event : {"target-gone", "target-draining"}) {
        if (!findLinesNear(end.time, event, "target", target).empty()) {
            text += "; a " + std::string(event) + " event was logged for it within 1 s";
        }
    }
    return text;
}

std::string LogExplainer::answered(const Line &end, const Lines &requestLines) const
{
    const auto firstEvent = number(field(end, "first_event_ms"));
    const auto took = firstEvent ? firstEvent : number(field(end, "took_ms"));
    const auto objective = number(field(end, "objective_ms"));
    const auto stages = number(field(end, "stages_ms"));
    if (!took || !objective) {
        return statedReason(end, requestLines);
    }
    std::string text = *took > *objective ? "late: " : "within its objective: ";
    text += std::to_string(*took) + " of " + std::to_string(*objective) + " ms";
    if (stages) {
        text += ", " + std::to_string(*stages) + " ms of it in stages";
    }
    const auto repeats = std::ranges::count_if(requestLines, [](const Line *it) { return field(*it, "event") == "repeat"; });
    if (repeats > 0) {
        text += ", after " + std::to_string(repeats) + " retries";
    }
    return text;
}

std::string LogExplainer::explain(const std::string &id) const
{
    const Lines requestLines = findRequestLines(id);
    if (requestLines.empty()) {
        return {};
    }
    std::string text = "request " + id + "\ncause: " + findCause(requestLines) + "\n\n";
    for (const Line *it : requestLines) {
        text += formatLine(*it) + "\n";
    }
    return text;
}

Json::object LogExplainer::explainJson(const std::string &id) const
{
    const Lines requestLines = findRequestLines(id);
    Json::array lines;
    for (const Line *it : requestLines) {
        lines.push_back(it->fields);
    }
    return {{"id", id}, {"cause", requestLines.empty() ? std::string() : findCause(requestLines)}, {"lines", std::move(lines)}};
}

} // namespace Guavalock
