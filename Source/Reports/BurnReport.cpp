#include "Kernel/Clock.h"
#include "Kernel/Registration.h"
#include "Pipeline/Services.h"
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

constexpr std::size_t nameWidth = 22;
constexpr std::size_t figureWidth = 9;

struct Window {
    double met = 0;
    double missed = 0;

    double total() const
    {
        return met + missed;
    }

    /// Returns how many times faster than allowed the error budget is used up.
    double burn(double objective) const
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
        window.met += ReportText::number(value->get_object(), "met");
        window.missed += ReportText::number(value->get_object(), "missed");
    }
}

std::vector<Line> merged(const std::vector<boost::json::object> &parts)
{
    std::map<std::string, Line> lines;
    for (const boost::json::object &part : parts) {
        for (const boost::json::value &it : part.at("pipelines").as_array()) {
            const boost::json::object &row = it.as_object();
            Line &line = lines[ReportText::text(row, "pipeline")];
            line.pipeline = ReportText::text(row, "pipeline");
            line.objective = ReportText::number(row, "objective");
            addWindow(line.shortWindow, row, "short");
            addWindow(line.longWindow, row, "long");
        }
    }
    std::vector<Line> sorted;
    for (auto &[name, line] : lines) {
        sorted.push_back(std::move(line));
    }
    std::ranges::stable_sort(sorted, std::ranges::greater(), [](const Line &it) { return it.longWindow.burn(it.objective); });
    return sorted;
}

std::string lineText(const Line &line)
{
    const double attained = line.longWindow.total() > 0 ? line.longWindow.met / line.longWindow.total() : 1.0;
    std::string text = ReportText::left(line.pipeline, nameWidth);
    text += ReportText::right(ReportText::percent(attained), figureWidth);
    text += ReportText::right(ReportText::decimal(line.longWindow.total(), 0), figureWidth) + "\n";
    text += "  goal " + ReportText::percent(line.objective);
    text += " burn 5m " + ReportText::decimal(line.shortWindow.burn(line.objective), 1);
    text += " 1h " + ReportText::decimal(line.longWindow.burn(line.objective), 1) + "\n";
    return text;
}

/// Attainment of each pipeline's objective and how fast its error budget is used, worst first.
class BurnReport : public Report
{
public:
    boost::json::object part(const Services &services) const override
    {
        const std::shared_ptr<const Configuration> configuration = services.configuration.current();
        boost::json::array rows;
        for (const AccountTable::BurnRow &it : services.accounts.burn(services.clock.now())) {
            const auto pipeline = configuration->pipelines.find(it.pipeline);
            const double objective = pipeline == configuration->pipelines.end() ? PipelineSettings().objective : pipeline->second.objective;
            rows.push_back(boost::json::object{{"pipeline", it.pipeline},
                                               {"objective", objective},
                                               {"short", windowJson(it.shortWindow)},
                                               {"long", windowJson(it.longWindow)}});
        }
        return {{"pipelines", std::move(rows)}};
    }

    std::string text(const std::vector<boost::json::object> &parts, std::size_t wanted) const override
    {
        std::string text = "SERVICE-LEVEL BURN, worst first\n" + ReportText::coverage(parts.size(), wanted);
        text += ReportText::left("pipeline", nameWidth) + ReportText::right("attained", figureWidth)
            + ReportText::right("requests", figureWidth) + "\n";
        for (const Line &it : merged(parts)) {
            text += lineText(it);
        }
        return text;
    }
};

const Registration<Report, BurnReport> registration("burn", "attainment and error budget of each pipeline");

} // namespace

} // namespace Guavalock
