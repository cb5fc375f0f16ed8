#pragma once

#include <boost/json/object.hpp>

#include <string>
#include <vector>

namespace Guavalock
{

struct DaemonContext;

/// A report: each daemon provides its part as JSON, and the tool combines the parts of all daemons into text.
class Report
{
public:
    static constexpr const char *pluginKind = "report";

    /// Maximum line length of a report in characters, chosen to fit a phone's terminal.
    static constexpr std::size_t columns = 40;

    virtual ~Report() = default;

    virtual boost::json::object part(const DaemonContext &context) const = 0;

    /// Combines the parts into text. The report carries a warning if there are fewer parts than expected daemons.
    virtual std::string render(const std::vector<boost::json::object> &parts, std::size_t expectedDaemons) const = 0;
};

} // namespace Guavalock
