#include "Reports/ReportText.h"

#include <boost/json/value.hpp>

#include <array>
#include <cstdio>

namespace Guavalock
{

std::string ReportText::coverage(std::size_t parts, std::size_t expectedDaemons)
{
    std::string line = "from " + std::to_string(parts) + " of " + std::to_string(expectedDaemons) + " daemons\n";
    if (parts < expectedDaemons) {
        line += "INCOMPLETE: do not trust the figures\n";
    }
    return line;
}

std::string ReportText::alignLeft(const std::string &text, std::size_t width)
{
    std::string buf = text.substr(0, width);
    buf.append(width - buf.size(), ' ');
    return buf;
}

std::string ReportText::alignRight(const std::string &text, std::size_t width)
{
    return text.size() >= width ? text : std::string(width - text.size(), ' ') + text;
}

std::string ReportText::percent(double share)
{
    return decimal(share * 100.0, 2) + "%";
}

std::string ReportText::decimal(double value, int digits)
{
    std::array<char, 64> buf{};
    std::snprintf(buf.data(), buf.size(), "%.*f", digits, value);
    return buf.data();
}

double ReportText::numberMember(const boost::json::object &object, const char *name)
{
    const boost::json::value *value = object.if_contains(name);
    return value != nullptr && value->is_number() ? value->to_number<double>() : 0.0;
}

std::string ReportText::stringMember(const boost::json::object &object, const char *name)
{
    const boost::json::value *value = object.if_contains(name);
    return value != nullptr && value->is_string() ? std::string(value->get_string()) : std::string();
}

} // namespace Guavalock
