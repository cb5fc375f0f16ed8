#pragma once

#include <boost/json/object.hpp>

#include <string>

namespace Guavalock
{

/// Formatting helpers for reports in narrow terminals.
class ReportText
{
public:
    /// Returns a line with the number of daemons covered, and a warning if some are missing.
    static std::string coverage(std::size_t parts, std::size_t expectedDaemons);

    /// Pads text to a width, aligned left or right. Left alignment also truncates longer text.
    static std::string alignLeft(const std::string &text, std::size_t width);
    static std::string alignRight(const std::string &text, std::size_t width);

    static std::string percent(double share);
    static std::string decimal(double value, int digits);

    /// Returns a numeric member, or 0 if it is absent or not a number.
    static double numberMember(const boost::json::object &object, const char *name);
    static std::string stringMember(const boost::json::object &object, const char *name);
};

} // namespace Guavalock
