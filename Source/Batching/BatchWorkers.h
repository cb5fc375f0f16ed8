#pragma once

#include "Kernel/Clock.h"

#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Guavalock
{

class BatchWorker;
class FleetTable;
struct SelectedTarget;

/// The targets of one stage service as the batch owner tracks them.
class BatchWorkers
{
public:
    BatchWorkers();
    ~BatchWorkers();

    /// Returns the state of a target, new if it is not known yet.
    std::shared_ptr<BatchWorker> get(const SelectedTarget &target);

    /// Returns the idle targets of the service, fastest first, and removes those that no longer exist.
    std::vector<std::shared_ptr<BatchWorker>> idle(FleetTable &fleet, const std::string &service, Clock::TimePoint now);

    /// Returns whether idle() may find a target among those that it has found before. Needs no look at all known targets.
    bool mayBeIdle(Clock::TimePoint now) const;

    std::map<std::string, std::size_t> countByDataCentre() const;

    /// Returns whether a call is in progress.
    bool anyBusy() const;

    /// Discards the results of a request's pieces that are being processed.
    void cancel(const std::string &origin, const std::string &requestId);

    std::size_t size() const;

private:
    std::map<std::string, std::shared_ptr<BatchWorker>> m_workers; ///< By target ID.
};

} // namespace Guavalock
