#include "Kernel/Registration.h"
#include "Pipeline/Services.h"
#include "Reports/Report.h"
#include "Reports/ReportText.h"
#include "Tables/AccountTable.h"

#include <boost/json/array.hpp>

#include <map>

namespace Guavalock
{

namespace
{

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
    return ReportText::left(name, nameWidth) + ReportText::right(ReportText::decimal(line.calls, 0), callsWidth)
        + ReportText::right(ReportText::decimal(line.seconds, 2), timeWidth)
        + ReportText::right(ReportText::decimal(line.wastedSeconds, 2), wasteWidth) + "\n";
}

/// What each organisation's stages cost in target time, with attempts that brought no answer apart.
class CostReport : public Report
{
public:
    boost::json::object part(const Services &services) const override
    {
        boost::json::array rows;
        for (const AccountTable::CostRow &it : services.accounts.costs()) {
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

    std::string text(const std::vector<boost::json::object> &parts, std::size_t wanted) const override
    {
        // Organisation, then stage of a pipeline.
        std::map<std::string, std::map<std::string, Line>> lines;
        for (const boost::json::object &part : parts) {
            for (const boost::json::value &it : part.at("accounts").as_array()) {
                const boost::json::object &row = it.as_object();
                const std::string stage = ReportText::text(row, "pipeline") + "." + ReportText::text(row, "stage");
                Line &line = lines[ReportText::text(row, "organisation")][stage];
                line.calls += ReportText::number(row, "calls");
                line.wasted += ReportText::number(row, "wasted_calls");
                line.seconds += ReportText::number(row, "target_seconds");
                line.wastedSeconds += ReportText::number(row, "wasted_seconds");
                line.tokensOut += ReportText::number(row, "tokens_out");
            }
        }
        std::string text = "COST BY STAGE, target seconds\n" + ReportText::coverage(parts.size(), wanted);
        text += ReportText::left("stage", nameWidth) + ReportText::right("calls", callsWidth) + ReportText::right("used", timeWidth)
            + ReportText::right("wasted", wasteWidth) + "\n";
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
