#include "Placement/PlacementTable.h"

#include <chrono>
#include <iostream>

using namespace Guavalock;

/// Measures the cost of one placement decision, with the reports of its start and its end, among 160 targets.
int main()
{
    constexpr std::size_t targets = 160;
    constexpr std::size_t inProgress = 2'000;
    constexpr std::size_t decisions = 200'000;
    constexpr ModelCapacity capacity{64, 400'000};
    constexpr std::chrono::milliseconds interval{4};
    PlacementTable table(capacity);
    std::vector<PlacementCandidate> candidates;
    for (std::size_t it = 0; it < targets; ++it) {
        candidates.push_back({"target-" + std::to_string(it), it % 2 == 0 ? "north" : "south"});
    }
    table.setTargets(candidates);
    Clock::TimePoint now{std::chrono::seconds(100)};
    std::chrono::nanoseconds deciding{0};
    std::chrono::nanoseconds reporting{0};
    for (std::size_t it = 0; it < decisions; ++it) {
        now += interval;
        PlacementQuery query;
        query.number = it;
        query.promptTokens = 9'000;
        query.outputTokens = 300;
        query.parts = {{1 + it % 4, 1'800}, {1'000 + it % 700, 4'500}};
        query.timeout = std::chrono::seconds(60);
        const auto start = std::chrono::steady_clock::now();
        table.place("daemon", query, now);
        const auto decided = std::chrono::steady_clock::now();
        PlacementReport report;
        if (it >= inProgress / 2) {
            report.event = PlacementReport::Event::Started;
            report.query.number = it - inProgress / 2;
            report.duration = std::chrono::milliseconds(150);
            table.apply("daemon", report, now);
        }
        if (it >= inProgress) {
            report.event = PlacementReport::Event::Completed;
            report.query.number = it - inProgress;
            table.apply("daemon", report, now);
        }
        deciding += decided - start;
        reporting += std::chrono::steady_clock::now() - decided;
        if (it % 50 == 0) {
            table.takeTotals();
        }
    }
    const auto mean = [](std::chrono::nanoseconds sum) {
        return static_cast<double>(sum.count()) / static_cast<double>(decisions) / 1'000;
    };
    std::cout << "decision_mean_us " << mean(deciding) << "\nreports_mean_us " << mean(reporting) << "\n";
    return 0;
}
