#include "Kernel/Clock.h"
#include "Kernel/Registration.h"
#include "Pipeline/DaemonContext.h"
#include "Reports/Report.h"
#include "Reports/ReportText.h"
#include "Settings/Configuration.h"
#include "Tables/AccountTable.h"
#include "Tables/ConfigurationTable.h"

#include <boost/json/array.hpp>

#include <algorithm>
#include <map>

namespace Guavalock
{

namespace
{

constexpr std::size_t nameWidth = 22; ///< Column width in characters.
constexpr std::size_t figureWidth = 9; ///< Column width in characters.

struct Window {
    double met = 0;
    double missed = 0;

    double total() const
    {
        return met + missed;
    }

    /// Returns the error budget burn rate; 1 uses the budget exactly as fast as allowed.
    double burnRate(double objective) const
    {
        return total() > 0 ? missed / total() / (1.0 - objective) : 0.0;
    }
};

struct Line {
    std::string pipeline;
    double objective = 1;
    Window shortWindow;
    Window longWindow;
};

boost::json::object windowJson(const BurnWindow::Sum &sum)
{
    return {{"met", sum.met}, {"missed", sum.missed}};
}

void addWindow(Window &window, const boost::json::object &row, const char *name)
{
    const boost::json::value *value = row.if_contains(name);
    if (value != nullptr && value->is_object()) {
        window.met += ReportText::numberMember(value->get_object(), "met");
        window.missed += ReportText::numberMember(value->get_object(), "missed");
    }
}

std::vector<Line> mergeParts(const std::vector<boost::json::object> &parts)
{
    std::map<std::string, Line> lines;
    for (const boost::json::object &part : parts) {
        for (const boost::json::value &it : part.at("pipelines").as_array()) {
            const boost::json::object &row = it.as_object();
            Line &line = lines[ReportText::stringMember(row, "pipeline")];
            line.pipeline = ReportText::stringMember(row, "pipeline");
            line.objective = ReportText::numberMember(row, "objective");
            addWindow(line.shortWindow, row, "short");
            addWindow(line.longWindow, row, "long");
        }
    }
    std::vector<Line> sorted;
    for (auto &[name, line] : lines) {
        sorted.push_back(std::move(line));
    }
    std::ranges::stable_sort(sorted, std::ranges::greater(), [](const Line &it) { return it.longWindow.burnRate(it.objective); });
    return sorted;
}

std::string lineText(const Line &line)
{
    const double attained = line.longWindow.total() > 0 ? line.longWindow.met / line.longWindow.total() : 1.0;
    std::string text = ReportText::alignLeft(line.pipeline, nameWidth);
    text += ReportText::alignRight(ReportText::percent(attained), figureWidth);
    text += ReportText::alignRight(ReportText::decimal(line.longWindow.total(), 0), figureWidth) + "\n";
    text += "  SLO " + ReportText::percent(line.objective);
    text += " burn 5m " + ReportText::decimal(line.shortWindow.burnRate(line.objective), 1);
    text += " 1h " + ReportText::decimal(line.longWindow.burnRate(line.objective), 1) + "\n";
    return text;
}

/// Attainment and error budget burn rate of each pipeline, highest burn rate first.
class BurnReport : public Report
{
public:
    boost::json::object part(const DaemonContext &context) const override
    {
        const std::shared_ptr<const Configuration> configuration = context.configuration.current();
        boost::json::array rows;
        for (const AccountTable::BurnRow &it : context.accounts.burn(context.clock.now())) {
            const auto pipeline = configuration->pipelines.find(it.pipeline);
            const double objective = pipeline == configuration->pipelines.end() ? PipelineSettings().objective : pipeline->second.objective;
            rows.push_back(boost::json::object{{"pipeline", it.pipeline},
                                               {"objective", objective},
                                               {"short", windowJson(it.shortWindow)},
                                               {"long", windowJson(it.longWindow)}});
        }
        return {{"pipelines", std::move(rows)}};
    }

    std::string render(const std::vector<boost::json::object> &parts, std::size_t expectedDaemons) const override
    {
        std::string text = "ERROR BUDGET BURN, worst first\n" + ReportText::coverage(parts.size(), expectedDaemons);
        text += ReportText::alignLeft("pipeline", nameWidth) + ReportText::alignRight("attained", figureWidth)
            + ReportText::alignRight("requests", figureWidth) + "\n";
        for (const Line &it : mergeParts(parts)) {
            text += lineText(it);
        }
        return text;
    }
};

const Registration<Report, BurnReport> registration("burn", "attainment and error budget of each pipeline");

} // namespace

} // namespace Guavalock
