#include "Batching/BatchWorkers.h"

#include "Batching/BatchWorker.h"
#include "Fleet/FleetTable.h"
#include "Net/HttpClient.h"

#include <algorithm>

namespace Guavalock
{

BatchWorkers::BatchWorkers() = default;

BatchWorkers::~BatchWorkers() = default;

std::shared_ptr<BatchWorker> BatchWorkers::get(const SelectedTarget &target)
{
    std::shared_ptr<BatchWorker> &worker = m_workers[target.id];
    if (!worker) {
        worker = std::make_shared<BatchWorker>(target);
    }
    return worker;
}

std::vector<std::shared_ptr<BatchWorker>> BatchWorkers::idle(FleetTable &fleet, const std::string &service, Clock::TimePoint now)
{
    const std::vector<SelectedTarget> targets = fleet.availableTargets(service, now);
    std::vector<std::shared_ptr<BatchWorker>> idle;
    for (const SelectedTarget &it : targets) {
        std::shared_ptr<BatchWorker> &worker = m_workers[it.id];
        if (!worker || worker->target.address != it.address || worker->target.startTime != it.startTime) {
            worker = std::make_shared<BatchWorker>(it);
        }
        if (!worker->busy && worker->backoffUntil <= now && fleet.mayCall(it.id, now)) {
            idle.push_back(worker);
        }
    }
    std::erase_if(m_workers, [&](const auto &entry) {
        const bool known = std::ranges::any_of(targets, [&](const SelectedTarget &it) { return it.id == entry.first; });
        return !known && !entry.second->busy && !entry.second->freeing;
    });
    std::ranges::stable_sort(idle, {}, [now](const auto &it) { return it->slowdown(now); });
    return idle;
}

std::map<std::string, std::size_t> BatchWorkers::countByDataCentre() const
{
    std::map<std::string, std::size_t> counts;
    for (const auto &[id, worker] : m_workers) {
        ++counts[worker->target.dataCentre];
    }
    return counts;
}

bool BatchWorkers::mayBeIdle(Clock::TimePoint now) const
{
    return m_workers.empty()
        || std::ranges::any_of(m_workers, [now](const auto &it) { return !it.second->busy && it.second->backoffUntil <= now; });
}

bool BatchWorkers::anyBusy() const
{
    return std::ranges::any_of(m_workers, [](const auto &it) { return it.second->busy; });
}

void BatchWorkers::cancel(const std::string &origin, const std::string &requestId)
{
    for (const auto &[id, worker] : m_workers) {
        for (BatchQueue::Entry &it : worker->inFlight) {
            if (it.origin == origin && it.piece.requestId == requestId) {
                it.origin.clear();
            }
        }
    }
}

std::size_t BatchWorkers::size() const
{
    return m_workers.size();
}

} // namespace Guavalock
