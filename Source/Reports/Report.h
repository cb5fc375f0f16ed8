#pragma once

#include <boost/json/object.hpp>

#include <string>
#include <vector>

namespace Guavalock
{

struct Services;

/// A report: each daemon gives its part as JSON, and the parts of all daemons are put together as text.
class Report
{
public:
    static constexpr const char *pluginKind = "report";

    /// Columns of a phone's terminal; no line of a report's text is longer.
    static constexpr std::size_t columns = 40;

    virtual ~Report() = default;

    virtual boost::json::object part(const Services &services) const = 0;

    /// Puts parts together. Wanted is the number of daemons that were asked; fewer parts make the report say what it lacks.
    virtual std::string text(const std::vector<boost::json::object> &parts, std::size_t wanted) const = 0;
};

} // namespace Guavalock
