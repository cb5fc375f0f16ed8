#include "Batching/BatchQueue.h"

#include "Fleet/BatchParameters.h"

#include <algorithm>
#include <functional>
#include <limits>
#include <utility>

namespace Guavalock
{

namespace
{

constexpr std::chrono::milliseconds localityWait{300}; ///< Maximum wait for a target in a piece's preferred data centre: about one call.
/// Slack that must remain before the soft deadline, so that waiting does not delay the request.
constexpr std::chrono::milliseconds localityWaitSlack{150};
/// Part of a result's lifetime after which a piece that reads it is no longer passed by less urgent ones. The other half suffices for the
/// pieces of its own and of more urgent ranks.
constexpr double maxPassedLifetime = 0.5;
constexpr std::uint64_t negligibleBytes = 64 * 1024; ///< Transfers up to this size between data centres have no noticeable cost.

/// Returns whether a piece may wait for a target in its preferred data centre, Piece::nearDataCentre.
bool mayWaitForLocality(const BatchQueue::Entry &entry, const BatchParameters &parameters, Clock::TimePoint now)
{
    return entry.piece.nearBytes > negligibleBytes && !entry.piece.nearDataCentre.empty() && now < entry.arrived + localityWait
        && now + parameters.fixedCallTime + localityWaitSlack < entry.piece.softDeadline;
}

} // namespace

void BatchQueue::add(Entry entry)
{
    m_entries.push_back(std::move(entry));
}

BatchQueue::BatchQueue(Order order)
    : m_order(order)
{
}

bool BatchQueue::willMiss(const Entry &entry, const BatchParameters &parameters, Clock::TimePoint now)
{
    return now + parameters.fixedCallTime > entry.piece.softDeadline;
}

bool BatchQueue::yields(const Entry &entry, const BatchParameters &parameters, Clock::TimePoint now) const
{
    const bool resultsExpire = m_order == Order::ProtectResults && !entry.piece.inputs.empty() && parameters.resultLifetime.count() > 0
        && now - entry.arrived > parameters.resultLifetime * maxPassedLifetime;
    return willMiss(entry, parameters, now) && !resultsExpire;
}

BatchQueue::SortKey BatchQueue::sortKey(const Entry &entry, const BatchParameters &parameters, Clock::TimePoint now) const
{
    const Piece &piece = entry.piece;
    return {yields(entry, parameters, now), piece.rank, willMiss(entry, parameters, now), piece.softDeadline, piece.number};
}

std::size_t BatchQueue::countAhead(const Piece &piece, const BatchParameters &parameters, Clock::TimePoint now) const
{
    const auto own = sortKey({piece, {}, now, 0}, parameters, now);
    const auto n = std::ranges::count_if(m_entries, [&](const Entry &it) { return sortKey(it, parameters, now) < own; });
    return static_cast<std::size_t>(n);
}

QueuedPieces BatchQueue::countByRank(const BatchParameters &parameters, Clock::TimePoint now) const
{
    QueuedPieces counts;
    for (const Entry &it : m_entries) {
        std::vector<std::size_t> &group = yields(it, parameters, now) ? counts.late : counts.first;
        const std::size_t rank = std::min<std::size_t>(it.piece.rank, QueuedPieces::rankCount - 1);
        group.resize(QueuedPieces::rankCount);
        ++group[rank];
    }
    return counts;
}

std::vector<BatchQueue::Candidate> BatchQueue::candidates(const BatchParameters &parameters, Clock::TimePoint now) const
{
    std::vector<Candidate> list;
    list.reserve(m_entries.size());
    for (std::size_t it = 0; it < m_entries.size(); ++it) {
        list.emplace_back(sortKey(m_entries[it], parameters, now), it);
    }
    std::ranges::make_heap(list, std::greater());
    return list;
}

std::vector<BatchQueue::Entry> BatchQueue::take(const BatchParameters &parameters, const IdleTarget &target, Clock::TimePoint now)
{
    std::map<std::string, std::size_t> remoteCapacity; // Pieces that the targets of other data centres can take with their next calls.
    for (const auto &[dataCentre, targets] : target.usableTargetsByDataCentre) {
        remoteCapacity[dataCentre] = dataCentre == target.dataCentre ? 0 : targets * parameters.maxBatchSize;
    }
    std::uint64_t smallest = std::numeric_limits<std::uint64_t>::max();
    for (const Entry &it : m_entries) {
        smallest = std::min(smallest, it.piece.resultBytes);
    }
    std::vector<Candidate> ordered = candidates(parameters, now);
    std::vector<std::size_t> chosen;
    std::uint64_t left = target.storageBytes;
    while (!ordered.empty() && chosen.size() < parameters.maxBatchSize && smallest <= left) {
        std::ranges::pop_heap(ordered, std::greater());
        const std::size_t index = ordered.back().second;
        ordered.pop_back();
        const Entry &it = m_entries[index];
        const auto remote = remoteCapacity.find(it.piece.nearDataCentre);
        const bool waits = remote != remoteCapacity.end() && remote->second > 0 && mayWaitForLocality(it, parameters, now);
        if (waits) {
            --remote->second;
        } else if (it.piece.resultBytes <= left) {
            left -= it.piece.resultBytes;
            chosen.push_back(index);
        }
    }
    return remove(std::move(chosen));
}

std::vector<BatchQueue::Entry> BatchQueue::remove(std::vector<std::size_t> indexes)
{
    std::vector<Entry> removed;
    removed.reserve(indexes.size());
    for (const std::size_t it : indexes) {
        removed.push_back(std::move(m_entries[it]));
    }
    std::ranges::sort(indexes, std::greater());
    for (const std::size_t it : indexes) {
        if (it + 1 < m_entries.size()) {
            m_entries[it] = std::move(m_entries.back());
        }
        m_entries.pop_back();
    }
    return removed;
}

std::vector<BatchQueue::Entry> BatchQueue::takeExpired(Clock::TimePoint now)
{
    const auto late = std::stable_partition(m_entries.begin(), m_entries.end(), [now](const Entry &it) { return it.piece.deadline > now; });
    std::vector<Entry> taken(std::make_move_iterator(late), std::make_move_iterator(m_entries.end()));
    m_entries.erase(late, m_entries.end());
    return taken;
}

std::vector<BatchQueue::Entry> BatchQueue::takeAll()
{
    return std::exchange(m_entries, {});
}

void BatchQueue::cancel(const std::string &origin, const std::string &requestId)
{
    std::erase_if(m_entries, [&](const Entry &it) { return it.origin == origin && it.piece.requestId == requestId; });
}

bool BatchQueue::empty() const
{
    return m_entries.empty();
}

std::size_t BatchQueue::size() const
{
    return m_entries.size();
}

} // namespace Guavalock
