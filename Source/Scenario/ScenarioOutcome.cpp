#include "Scenario/ScenarioOutcome.h"

#include <array>
#include <sstream>

namespace Guavalock
{

namespace
{

struct Figure {
    const char *name;
    double ScenarioOutcome::*member;
    bool violation;
};

constexpr std::array figures = {
    Figure{"requests", &ScenarioOutcome::requests, false},
    Figure{"answered", &ScenarioOutcome::answered, false},
    Figure{"refused_not_run", &ScenarioOutcome::refusedNotRun, false},
    Figure{"refused_run", &ScenarioOutcome::refusedRun, false},
    Figure{"refused_unknown", &ScenarioOutcome::refusedUnknown, false},
    Figure{"refusal_median_ms", &ScenarioOutcome::refusalMedian, false},
    Figure{"calls", &ScenarioOutcome::calls, false},
    Figure{"busy_seconds", &ScenarioOutcome::busySeconds, false},
    Figure{"wasted_seconds", &ScenarioOutcome::wastedSeconds, false},
    Figure{"deaths", &ScenarioOutcome::deaths, false},
    Figure{"poisons", &ScenarioOutcome::poisons, false},
    Figure{"smallest_share", &ScenarioOutcome::smallestShare, false},
    Figure{"excess_at_turn", &ScenarioOutcome::excessAtTurn, false},
    Figure{"window_calls", &ScenarioOutcome::windowCalls, false},
    Figure{"cold_exceeded", &ScenarioOutcome::coldExceeded, true},
    Figure{"ran_twice", &ScenarioOutcome::ranTwice, true},
    Figure{"not_run_false", &ScenarioOutcome::notRunFalse, true},
    Figure{"after_out", &ScenarioOutcome::afterOut, true},
    Figure{"poison_excess", &ScenarioOutcome::poisonExcess, true},
};

} // namespace

double ScenarioOutcome::attainment() const
{
    return requests > 0 ? answered / requests : 1.0;
}

double ScenarioOutcome::cost() const
{
    return answered > 0 ? busySeconds / answered : 0.0;
}

double ScenarioOutcome::figure(const std::string &name) const
{
    if (name == "attainment") {
        return attainment();
    }
    if (name == "cost") {
        return cost();
    }
    for (const Figure &it : figures) {
        if (name == it.name) {
            return this->*it.member;
        }
    }
    return 0;
}

std::vector<std::string> ScenarioOutcome::figureNames()
{
    std::vector<std::string> list{"attainment", "cost"};
    for (const Figure &it : figures) {
        list.emplace_back(it.name);
    }
    return list;
}

std::vector<std::string> ScenarioOutcome::violations() const
{
    std::vector<std::string> list;
    for (const Figure &it : figures) {
        if (it.violation && this->*it.member > 0) {
            std::ostringstream text;
            text << it.name << " is " << this->*it.member;
            list.push_back(text.str());
        }
    }
    return list;
}

} // namespace Guavalock
