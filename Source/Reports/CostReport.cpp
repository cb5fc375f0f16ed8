#include "Kernel/Registration.h"
#include "Pipeline/DaemonContext.h"
#include "Reports/Report.h"
#include "Reports/ReportText.h"
#include "Tables/AccountTable.h"

#include <boost/json/array.hpp>

#include <map>

namespace Guavalock
{

namespace
{

// Column widths in characters.
constexpr std::size_t nameWidth = 18;
constexpr std::size_t callsWidth = 7;
constexpr std::size_t timeWidth = 8;
constexpr std::size_t wasteWidth = 7;

struct Line {
    double calls = 0;
    double wasted = 0;
    double seconds = 0;
    double wastedSeconds = 0;
    double tokensOut = 0;
};

double seconds(Clock::Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

std::string figures(const std::string &name, const Line &line)
{
    return ReportText::alignLeft(name, nameWidth) + ReportText::alignRight(ReportText::decimal(line.calls, 0), callsWidth)
        + ReportText::alignRight(ReportText::decimal(line.seconds, 2), timeWidth)
        + ReportText::alignRight(ReportText::decimal(line.wastedSeconds, 2), wasteWidth) + "\n";
}

/// Target time of each organisation's stages; the time of attempts without an answer is also shown separately.
class CostReport : public Report
{
public:
    boost::json::object part(const DaemonContext &context) const override
    {
        boost::json::array rows;
        for (const AccountTable::CostRow &it : context.accounts.costs()) {
            rows.push_back(boost::json::object{{"organisation", it.account.organisation},
                                               {"team", it.account.team},
                                               {"pipeline", it.account.pipeline},
                                               {"stage", it.account.stage},
                                               {"calls", it.cost.calls},
                                               {"wasted_calls", it.cost.wasted},
                                               {"target_seconds", seconds(it.cost.targetTime)},
                                               {"wasted_seconds", seconds(it.cost.wastedTime)},
                                               {"tokens_in", it.cost.tokensIn},
                                               {"tokens_out", it.cost.tokensOut}});
        }
        return {{"accounts", std::move(rows)}};
    }

    std::string render(const std::vector<boost::json::object> &parts, std::size_t expectedDaemons) const override
    {
        // Keyed by organisation, then by PIPELINE.STAGE.
        std::map<std::string, std::map<std::string, Line>> lines;
        for (const boost::json::object &part : parts) {
            for (const boost::json::value &it : part.at("accounts").as_array()) {
                const boost::json::object &row = it.as_object();
                const std::string stage = ReportText::stringMember(row, "pipeline") + "." + ReportText::stringMember(row, "stage");
                Line &line = lines[ReportText::stringMember(row, "organisation")][stage];
                line.calls += ReportText::numberMember(row, "calls");
                line.wasted += ReportText::numberMember(row, "wasted_calls");
                line.seconds += ReportText::numberMember(row, "target_seconds");
                line.wastedSeconds += ReportText::numberMember(row, "wasted_seconds");
                line.tokensOut += ReportText::numberMember(row, "tokens_out");
            }
        }
        std::string text = "COST BY STAGE, target seconds\n" + ReportText::coverage(parts.size(), expectedDaemons);
        text += ReportText::alignLeft("stage", nameWidth) + ReportText::alignRight("calls", callsWidth)
            + ReportText::alignRight("used", timeWidth) + ReportText::alignRight("wasted", wasteWidth) + "\n";
        for (const auto &[organisation, stages] : lines) {
            text += organisation + "\n";
            for (const auto &[stage, line] : stages) {
                text += figures(" " + stage, line);
            }
        }
        return text;
    }
};

const Registration<Report, CostReport> registration("cost", "target time of each organisation's stages");

} // namespace

} // namespace Guavalock
