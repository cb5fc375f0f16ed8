#include "Scenario/ScenarioCommand.h"

#include "Scenario/ScenarioRun.h"
#include "Settings/FieldTable.h"
#include "Settings/SettingsFile.h"

#include <filesystem>
#include <iomanip>

namespace Guavalock
{

ScenarioCommand::ScenarioCommand(Options options)
    : m_options(std::move(options))
{
}

bool ScenarioCommand::run(const std::string &file, std::ostream &out) const
{
    SettingsErrors errors;
    ScenarioSettings settings;
    const std::optional<SettingsFile> loaded = SettingsFile::load(file, errors);
    if (loaded) {
        readSetting(loaded->root(), settings, errors);
    }
    for (const SettingsError &it : errors) {
        out << it.text() << '\n';
    }
    if (!errors.empty()) {
        return false;
    }
    const std::string name = std::filesystem::path(file).stem();
    if (!m_options.policies.empty()) {
        comparePolicies(name, settings, out);
        return true;
    }
    return runSeeds(name, settings, out);
}

std::vector<std::string> ScenarioCommand::failedExpectations(const ScenarioSettings &settings, const ScenarioOutcome &outcome)
{
    std::vector<std::string> list = outcome.violations();
    for (const ScenarioExpectation &it : settings.expect) {
        const double value = outcome.figure(it.figure);
        if (value < it.minimum || value > it.maximum) {
            list.push_back(it.figure + " is " + formatSetting(value) + ", expected from " + formatSetting(it.minimum) + " to "
                           + formatSetting(it.maximum));
        }
    }
    return list;
}

bool ScenarioCommand::runSeeds(const std::string &file, const ScenarioSettings &settings, std::ostream &out) const
{
    bool passed = true;
    double attainment = 0;
    double worstAttainment = 1;
    for (std::size_t it = 0; it < m_options.seeds; ++it) {
        const std::uint64_t seed = settings.seed + it;
        ScenarioRun run(settings, seed, m_options.trace ? &out : nullptr);
        const ScenarioOutcome outcome = run.run();
        attainment += outcome.attainment();
        worstAttainment = std::min(worstAttainment, outcome.attainment());
        for (const std::string &failure : failedExpectations(settings, outcome)) {
            passed = false;
            out << file << " seed " << seed << ": FAILED: " << failure << '\n';
        }
    }
    out << file << ": " << (passed ? "holds" : "does not hold") << ", seeds " << m_options.seeds << ", attainment " << std::fixed
        << std::setprecision(4) << attainment / static_cast<double>(m_options.seeds) << ", worst " << worstAttainment << std::defaultfloat
        << '\n';
    return passed;
}

void ScenarioCommand::comparePolicies(const std::string &file, const ScenarioSettings &settings, std::ostream &out) const
{
    for (const std::string &policy : m_options.policies) {
        ScenarioSettings varied = settings;
        varied.policy = policy;
        double attainment = 0;
        double cost = 0;
        double wasted = 0;
        for (std::size_t it = 0; it < m_options.seeds; ++it) {
            const ScenarioOutcome outcome = ScenarioRun(varied, settings.seed + it, nullptr).run();
            attainment += outcome.attainment();
            cost += outcome.cost();
            wasted += outcome.answered > 0 ? outcome.wastedSeconds / outcome.answered : 0;
        }
        const auto n = static_cast<double>(m_options.seeds);
        out << "| " << file << " | " << policy << " | " << std::fixed << std::setprecision(4) << attainment / n << " | " << cost / n
            << " | " << wasted / n << std::defaultfloat << " |\n";
    }
}

} // namespace Guavalock
