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
constexpr std::size_t numberWidth = 9; ///< Column width in characters.

struct Counts {
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

struct PipelineBurn {
    std::string pipeline;
    double objective = 1;
    Counts shortWindow;
    Counts longWindow;
};

boost::json::object countsJson(const BurnWindow::Counts &counts)
{
    return {{"met", counts.met}, {"missed", counts.missed}};
}

void addCounts(Counts &counts, const boost::json::object &row, const char *name)
{
    const boost::json::value *value = row.if_contains(name);
    if (value != nullptr && value->is_object()) {
        counts.met += ReportText::numberMember(value->get_object(), "met");
        counts.missed += ReportText::numberMember(value->get_object(), "missed");
    }
}

std::vector<PipelineBurn> mergeParts(const std::vector<boost::json::object> &parts)
{
    std::map<std::string, PipelineBurn> lines;
    for (const boost::json::object &part : parts) {
        for (const boost::json::value &it : part.at("pipelines").as_array()) {
            const boost::json::object &row = it.as_object();
            PipelineBurn &line = lines[ReportText::stringMember(row, "pipeline")];
            line.pipeline = ReportText::stringMember(row, "pipeline");
            line.objective = ReportText::numberMember(row, "objective");
            addCounts(line.shortWindow, row, "short");
            addCounts(line.longWindow, row, "long");
        }
    }
    std::vector<PipelineBurn> sorted;
    for (auto &[name, line] : lines) {
        sorted.push_back(std::move(line));
    }
    std::ranges::stable_sort(sorted, std::ranges::greater(), [](const PipelineBurn &it) { return it.longWindow.burnRate(it.objective); });
    return sorted;
}

std::string lineText(const PipelineBurn &line)
{
    const double attained = line.longWindow.total() > 0 ? line.longWindow.met / line.longWindow.total() : 1.0;
    std::string text = ReportText::alignLeft(line.pipeline, nameWidth);
    text += ReportText::alignRight(ReportText::percent(attained), numberWidth);
    text += ReportText::alignRight(ReportText::decimal(line.longWindow.total(), 0), numberWidth) + "\n";
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
                                               {"short", countsJson(it.shortWindowCounts)},
                                               {"long", countsJson(it.longWindowCounts)}});
        }
        return {{"pipelines", std::move(rows)}};
    }

    std::string render(const std::vector<boost::json::object> &parts, std::size_t expectedDaemons) const override
    {
        std::string text = "ERROR BUDGET BURN, worst first\n" + ReportText::coverage(parts.size(), expectedDaemons);
        text += ReportText::alignLeft("pipeline", nameWidth) + ReportText::alignRight("attained", numberWidth)
            + ReportText::alignRight("requests", numberWidth) + "\n";
        for (const PipelineBurn &it : mergeParts(parts)) {
            text += lineText(it);
        }
        return text;
    }
};

const Registration<Report, BurnReport> registration("burn", "attainment and error budget of each pipeline");

} // namespace

} // namespace Guavalock
