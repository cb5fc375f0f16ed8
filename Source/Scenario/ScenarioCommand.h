#pragma once

#include "Scenario/ScenarioOutcome.h"

#include <cstdint>
#include <ostream>
#include <string>
#include <vector>

namespace Guavalock
{

struct ScenarioSettings;

/// Runs scenario files and prints whether their invariants and expectations hold.
class ScenarioCommand
{
public:
    struct Options {
        std::size_t seeds = 1;
        bool trace = false;
        std::vector<std::string> policies;
    };

    explicit ScenarioCommand(Options options);

    /// Runs a file with each seed, or with each policy to compare them. Returns false if the file is invalid or a check fails.
    bool run(const std::string &file, std::ostream &out) const;

private:
    bool runSeeds(const std::string &file, const ScenarioSettings &settings, std::ostream &out) const;
    void comparePolicies(const std::string &file, const ScenarioSettings &settings, std::ostream &out) const;
    static std::vector<std::string> failedExpectations(const ScenarioSettings &settings, const ScenarioOutcome &outcome);

    Options m_options;
};

} // namespace Guavalock
