#pragma once

#include <boost/json/object.hpp>

#include <string>

namespace Guavalock
{

/// Helps reports to write narrow text.
class ReportText
{
public:
    /// Returns the line that says how many daemons the report covers, and a warning when some are missing.
    static std::string coverage(std::size_t parts, std::size_t wanted);

    /// Returns text cut or padded to a width, at the left or at the right edge.
    static std::string left(const std::string &text, std::size_t width);
    static std::string right(const std::string &text, std::size_t width);

    static std::string percent(double share);
    static std::string decimal(double value, int digits);

    /// Returns a member as a number, or zero.
    static double number(const boost::json::object &object, const char *name);
    static std::string text(const boost::json::object &object, const char *name);
};

} // namespace Guavalock
