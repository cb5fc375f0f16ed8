#include "Placement/PlacementLedger.h"

namespace Guavalock
{

void PlacementLedger::place(PlacementQuery query, std::string target, Clock::TimePoint now)
{
    PlacementReport report;
    report.event = PlacementReport::Event::Placed;
    report.query = std::move(query);
    report.target = std::move(target);
    m_entries[report.query.number] = {report, now};
}

void PlacementLedger::start(std::uint64_t number)
{
    if (const auto it = m_entries.find(number); it != m_entries.end()) {
        it->second.report.started = true;
    }
}

bool PlacementLedger::end(std::uint64_t number)
{
    return m_entries.erase(number) > 0;
}

std::vector<PlacementReport> PlacementLedger::reports(const std::string &service, Clock::TimePoint now) const
{
    std::vector<PlacementReport> list;
    for (const auto &[number, entry] : m_entries) {
        if (entry.report.query.service == service) {
            const auto age = std::chrono::duration_cast<std::chrono::microseconds>(now - entry.placedAt);
            list.push_back(entry.report);
            list.back().query.timeout -= age;
            list.back().query.timeLeft -= age;
        }
    }
    return list;
}

} // namespace Guavalock
