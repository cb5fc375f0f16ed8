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

constexpr std::chrono::seconds nearby{1}; ///< Within which a line of a target or service bears on a request's end.
constexpr std::size_t millisecondDigits = 3;

/// Parses the time of a log line, as in 2026-01-10T08:37:38.118Z. Returns the epoch when it cannot be read.
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

std::string LogExplainer::described(const Line &line)
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

LogExplainer::Lines LogExplainer::linesOf(const std::string &id) const
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

LogExplainer::Lines LogExplainer::around(TimePoint time, std::string_view event, std::string_view name, const std::string &value) const
{
    Lines found;
    for (const Line &it : m_lines) {
        const bool close = it.time >= time - nearby && it.time <= time + nearby;
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
                                         {"refused", "OutcomeUnknown", &LogExplainer::targetBroke},
                                         {"refused", "DeadlineExceeded", &LogExplainer::answered},
                                         {"cut", "", &LogExplainer::targetBroke},
                                         {"answered", "", &LogExplainer::answered},
                                         {"", "", &LogExplainer::asStated}};
    return table;
}

std::string LogExplainer::causeOf(const Lines &own) const
{
    const auto end = std::ranges::find_if(own, [](const Line *it) { return field(*it, "event") == "request"; });
    if (end == own.end()) {
        return "no line tells its end; the daemon that took it may have died, or its log is missing";
    }
    const std::string outcome = field(**end, "outcome");
    const std::string code = field(**end, "code");
    const auto rule = std::ranges::find_if(
        rules(), [&](const Rule &it) { return (it.outcome.empty() || it.outcome == outcome) && (it.code.empty() || it.code == code); });
    return (this->*rule->cause)(**end, own);
}

std::string LogExplainer::asStated(const Line &end, const Lines &) const
{
    const std::string reason = field(end, "reason");
    return reason.empty() ? "the line of its end gives no reason" : reason;
}

std::string LogExplainer::overloaded(const Line &end, const Lines &own) const
{
    for (const Line *it : own) {
        if (field(*it, "part") == "batching" && field(*it, "event") == "refused") {
            return "service " + field(*it, "service") + " had " + field(*it, "queued") + " pieces waiting for " + field(*it, "targets")
                + " targets; its stages would have taken " + field(*it, "expected_ms") + " ms of the " + field(*it, "wanted_in_ms")
                + " ms left";
        }
    }
    return asStated(end, own);
}

std::string LogExplainer::stageFailed(const Line &end, const Lines &own) const
{
    std::map<std::string, std::size_t> failures;
    for (const Line *it : around(end.time, "call-failed", {}, {})) {
        ++failures[field(*it, "service") + " at target " + field(*it, "target") + " (" + field(*it, "end") + ")"];
    }
    std::string text = asStated(end, own);
    for (const auto &[where, n] : failures) {
        text += "; " + std::to_string(n) + " failed calls of " + where;
    }
    return text;
}

std::string LogExplainer::targetBroke(const Line &end, const Lines &own) const
{
    const std::string target = field(end, "target");
    std::string text = field(end, "outcome") == "cut" ? "the stream of target " + target + " broke off" : asStated(end, own);
    std::size_t others = 0;
    for (const std::string_view event : {"request", "repeat"}) {
        for (const Line *it : around(end.time, event, "target", target)) {
            const bool bad = event == "repeat" || field(*it, "code") == "OutcomeUnknown" || field(*it, "outcome") == "cut";
            others += bad && field(*it, "id") != field(end, "id") ? 1 : 0;
        }
    }
    text += "; within a second " + std::to_string(others) + " other requests lost this target's answer";
    for (const std::string_view event : {"target-gone", "target-draining"}) {
        if (!around(end.time, event, "target", target).empty()) {
            text += "; its record said " + std::string(event) + " at that time";
        }
    }
    return text;
}

std::string LogExplainer::answered(const Line &end, const Lines &own) const
{
    const auto first = number(field(end, "first_event_ms"));
    const auto took = first ? first : number(field(end, "took_ms"));
    const auto objective = number(field(end, "objective_ms"));
    const auto stages = number(field(end, "stages_ms"));
    if (!took || !objective) {
        return asStated(end, own);
    }
    std::string text = *took > *objective ? "late: " : "within its objective: ";
    text += std::to_string(*took) + " of " + std::to_string(*objective) + " ms";
    if (stages) {
        text += ", " + std::to_string(*stages) + " ms of them for its stages";
    }
    const auto repeats = std::ranges::count_if(own, [](const Line *it) { return field(*it, "event") == "repeat"; });
    if (repeats > 0) {
        text += ", after " + std::to_string(repeats) + " repeats";
    }
    return text;
}

std::string LogExplainer::story(const std::string &id) const
{
    const Lines own = linesOf(id);
    if (own.empty()) {
        return {};
    }
    std::string text = "request " + id + "\ncause: " + causeOf(own) + "\n\n";
    for (const Line *it : own) {
        text += described(*it) + "\n";
    }
    return text;
}

Json::object LogExplainer::json(const std::string &id) const
{
    const Lines own = linesOf(id);
    Json::array lines;
    for (const Line *it : own) {
        lines.push_back(it->fields);
    }
    return {{"id", id}, {"cause", own.empty() ? std::string() : causeOf(own)}, {"lines", std::move(lines)}};
}

} // namespace Guavalock
