#pragma once

#include "Admission/QueuedPieces.h"
#include "Batching/Piece.h"

#include <cstddef>
#include <map>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace Guavalock
{

struct BatchParameters;

/// Queues pieces of one service, from all daemons, until a target can process them. Performs no I/O.
///
/// Pieces whose request can still meet its objective come first; the estimate counts the fixed time of a call, not the time per piece.
/// Within each group, pieces are ordered by rank and then by soft deadline.
///
/// A piece that can't meet its objective returns to the first group before the results that it reads expire. Otherwise, in an overload, it
/// would wait until they are gone, and the stages before it would be executed again while the services are saturated. It comes after the
/// pieces of its rank that are on time, so that it displaces only less urgent ones.
class BatchQueue
{
public:
    enum class Order {
        ByObjective, ///< A piece that can't meet its objective is always passed by those that can.
        ProtectResults, ///< As described above.
    };

    struct Entry {
        Piece piece;
        std::string origin; ///< Vm name of the daemon that submitted the piece.
        Clock::TimePoint arrived;
        unsigned attempts = 0; ///< Number of calls that have included the piece.
    };

    /// An idle target, and the locations of the usable targets of its service.
    struct IdleTarget {
        std::uint64_t storageBytes = 0; ///< Free result storage on the target, in bytes.
        std::string dataCentre;
        const std::map<std::string, std::size_t> &usableTargetsByDataCentre; ///< Number of usable targets by data centre.
    };

    explicit BatchQueue(Order order = Order::ProtectResults);

    void add(Entry entry);

    /// Removes and returns the pieces for the next call to a target.
    ///
    /// A piece that is better processed in another data centre (Piece::nearDataCentre) is held back for the targets there for a limited
    /// time, unless more pieces wait for them than they can take with their next calls.
    std::vector<Entry> take(const BatchParameters &parameters, const IdleTarget &target, Clock::TimePoint now);

    /// Returns the number of queued pieces that precede the given piece.
    std::size_t countAhead(const Piece &piece, const BatchParameters &parameters, Clock::TimePoint now) const;

    QueuedPieces countByRank(const BatchParameters &parameters, Clock::TimePoint now) const;

    /// Removes and returns the pieces whose deadline has passed.
    std::vector<Entry> takeExpired(Clock::TimePoint now);

    /// Removes and returns all pieces.
    std::vector<Entry> takeAll();

    /// Removes the pieces of a cancelled request.
    void cancel(const std::string &origin, const std::string &requestId);

    bool empty() const;
    std::size_t size() const;

private:
    /// Smaller keys are processed first.
    using SortKey = std::tuple<bool, unsigned, bool, Clock::TimePoint, std::uint64_t>;

    /// The key of a queued piece and its index in the queue.
    using Candidate = std::pair<SortKey, std::size_t>;

    SortKey sortKey(const Entry &entry, const BatchParameters &parameters, Clock::TimePoint now) const;

    /// Returns all queued pieces as a heap whose first element is to be processed first. A call takes few of a long queue, and entries are
    /// large, so the queue itself is never sorted.
    std::vector<Candidate> candidates(const BatchParameters &parameters, Clock::TimePoint now) const;

    /// Removes and returns the entries with the given indexes, in their order.
    std::vector<Entry> remove(std::vector<std::size_t> indexes);

    static bool willMiss(const Entry &entry, const BatchParameters &parameters, Clock::TimePoint now);

    /// Returns whether the piece belongs to the group that comes last.
    bool yields(const Entry &entry, const BatchParameters &parameters, Clock::TimePoint now) const;

    Order m_order;
    std::vector<Entry> m_entries; ///< In no particular order.
};

} // namespace Guavalock
