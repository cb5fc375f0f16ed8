#pragma once

#include "Admission/ServiceBacklog.h"
#include "Batching/PieceResult.h"
#include "Kernel/Clock.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace Guavalock
{

/// Holds results until they are delivered to the daemons that submitted their pieces. Undelivered results are kept for a limited
/// time, until the link to the daemon is restored.
class ResultOutbox
{
public:
    /// Delivers results to a daemon, with the backlogs of the services that this daemon batches. Returns false when the daemon is currently
    /// unreachable.
    using Deliver = std::function<bool(const std::string &origin, const std::vector<PieceResult> &, const std::vector<ServiceBacklog> &)>;

    explicit ResultOutbox(Deliver deliver);

    void add(const std::string &origin, PieceResult result, Clock::TimePoint now);

    /// Delivers results to all reachable daemons. Returns the handles of expired results, which will not be used.
    std::vector<std::string> flush(const std::vector<ServiceBacklog> &backlogs, Clock::TimePoint now);

    bool empty() const;

private:
    /// Undelivered results for one daemon.
    struct Results {
        std::vector<PieceResult> list;
        Clock::TimePoint since; ///< When the oldest result was added.
    };

    Deliver m_deliver;
    std::map<std::string, Results> m_results; ///< By daemon.
};

} // namespace Guavalock
