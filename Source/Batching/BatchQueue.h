#pragma once

#include "Batching/Piece.h"

#include <cstddef>
#include <map>
#include <string>
#include <tuple>
#include <vector>

namespace Guavalock
{

struct BatchParameters;

/// Queues pieces of one service, from all daemons, until a target can process them. Performs no I/O.
///
/// Pieces whose request can still meet its objective come first; the estimate counts the fixed time of a call, not the time per piece.
/// Within each group, pieces are ordered by rank and then by soft deadline.
class BatchQueue
{
public:
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

    void add(Entry entry);

    /// Removes and returns the pieces for the next call to a target.
    ///
    /// A piece that is better processed in another data centre (Piece::nearDataCentre) is held back for the targets there for a limited
    /// time, unless more pieces wait for them than they can take with their next calls.
    std::vector<Entry> take(const BatchParameters &parameters, const IdleTarget &target, Clock::TimePoint now);

    /// Returns the number of queued pieces that precede the given piece.
    std::size_t countAhead(const Piece &piece, const BatchParameters &parameters, Clock::TimePoint now) const;

    /// Removes and returns the pieces whose deadline has passed.
    std::vector<Entry> takeExpired(Clock::TimePoint now);

    /// Removes and returns all pieces.
    std::vector<Entry> takeAll();

    /// Removes the pieces of a cancelled request.
    void cancel(const std::string &origin, const std::string &requestId);

    bool empty() const;
    std::size_t size() const;

private:
    /// Returns the sort key of a piece. Smaller keys are processed first.
    static std::tuple<bool, unsigned, Clock::TimePoint, std::uint64_t> sortKey(const Piece &piece, const BatchParameters &parameters,
                                                                               Clock::TimePoint now);

    std::vector<Entry> m_entries;
};

} // namespace Guavalock
