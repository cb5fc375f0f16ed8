#include "Batching/ResultOutbox.h"

#include "Kernel/Log.h"

#include <utility>

namespace Guavalock
{

namespace
{

/// How long the undelivered results of an origin are kept, counted from the oldest: long enough for a broken link to be re-established.
constexpr std::chrono::milliseconds deliveryTimeout{1'500};

} // namespace

ResultOutbox::ResultOutbox(Deliver deliver)
    : m_deliver(std::move(deliver))
{
}

void ResultOutbox::add(const std::string &origin, PieceResult result, Clock::TimePoint now)
{
    const auto it = m_results.try_emplace(origin, Results{{}, now}).first;
    it->second.list.push_back(std::move(result));
}

std::vector<std::string> ResultOutbox::flush(const std::vector<ServiceBacklog> &backlogs, Clock::TimePoint now)
{
    std::vector<std::string> expired;
    for (auto it = m_results.begin(); it != m_results.end();) {
        const auto &[origin, results] = *it;
        const bool delivered = m_deliver(origin, results.list, backlogs);
        if (!delivered && now - results.since < deliveryTimeout) {
            ++it;
            continue;
        }
        if (!delivered) {
            Log::warning("batching", "results-undelivered", {{"peer", origin}, {"results", std::to_string(results.list.size())}});
            for (const PieceResult &result : results.list) {
                if (!result.handle.empty()) {
                    expired.push_back(result.handle);
                }
            }
        }
        it = m_results.erase(it);
    }
    return expired;
}

bool ResultOutbox::empty() const
{
    return m_results.empty();
}

} // namespace Guavalock
