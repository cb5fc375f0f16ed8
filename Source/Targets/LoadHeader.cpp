#include "Targets/LoadHeader.h"

#include <charconv>
#include <map>

namespace Guavalock
{

namespace
{

std::string_view trimmed(std::string_view text)
{
    const std::size_t first = text.find_first_not_of(' ');
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(' ') - first + 1);
}

std::map<std::string_view, std::string_view> parsePairs(std::string_view text)
{
    std::map<std::string_view, std::string_view> found;
    while (!text.empty()) {
        const std::size_t end = text.find(';');
        const std::string_view item = trimmed(text.substr(0, end));
        const std::size_t equals = item.find('=');
        if (equals != std::string_view::npos) {
            found[item.substr(0, equals)] = item.substr(equals + 1);
        }
        text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
    }
    return found;
}

std::size_t parseNumber(std::string_view text)
{
    std::size_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

} // namespace

std::optional<LoadReport> LoadHeader::parse(std::string_view text)
{
    auto found = parsePairs(text);
    const std::string_view state = found["state"];
    LoadReport report;
    report.incarnation = found["incarnation"];
    if (report.incarnation.empty() || (state != "warm" && state != "cold")) {
        return std::nullopt;
    }
    report.warm = state == "warm";
    report.running = parseNumber(found["running"]);
    report.waiting = parseNumber(found["waiting"]);
    return report;
}

std::string LoadHeader::write(const LoadReport &report)
{
    return "incarnation=" + report.incarnation + "; state=" + (report.warm ? "warm" : "cold")
        + "; running=" + std::to_string(report.running) + "; waiting=" + std::to_string(report.waiting);
}

} // namespace Guavalock
