#pragma once

#include "Batching/PieceResult.h"
#include "Kernel/Clock.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace Guavalock
{

/// Results on their way back to the daemons that asked for them. A daemon that cannot be reached gets them when its link is back.
class ResultOutbox
{
public:
    /// Takes results to a daemon. Returns false when it cannot be reached now.
    using Deliver = std::function<bool(const std::string &origin, const std::vector<PieceResult> &)>;

    explicit ResultOutbox(Deliver deliver);

    void add(const std::string &origin, PieceResult result, Clock::TimePoint now);

    /// Delivers what can be delivered. Returns the handles of results that were kept for too long, which nobody will use.
    std::vector<std::string> flush(Clock::TimePoint now);

private:
    /// For one daemon.
    struct Results {
        std::vector<PieceResult> list;
        Clock::TimePoint since; ///< The oldest.
    };

    Deliver m_deliver;
    std::map<std::string, Results> m_results; ///< By daemon.
};

} // namespace Guavalock
