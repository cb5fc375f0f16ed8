#pragma once

#include "Batching/Piece.h"

#include <cstddef>
#include <map>
#include <string>
#include <tuple>
#include <vector>

namespace Guavalock
{

struct BatchTerms;

/// The pieces of one service that wait for a target, from all daemons. A decision without input or output.
///
/// Pieces whose request can still meet its objective go first, then those of a more urgent rank, then the earlier objective.
class BatchQueue
{
public:
    struct Entry {
        Piece piece;
        std::string origin; ///< The daemon that asked for it.
        Clock::TimePoint arrived;
        unsigned tries = 0; ///< Calls that it was in before.
    };

    void add(Entry entry);

    /// A target that could take a call, and where others of its service are.
    struct Offer {
        std::uint64_t room = 0; ///< That the target has left for results, in bytes.
        std::string dataCentre;
        const std::map<std::string, std::size_t> &targets; ///< That may be used, by data centre.
    };

    /// Removes and returns what the next call to a target takes.
    ///
    /// A piece whose inputs lie in another data centre is left to the targets there for a while, unless more waits for them than they
    /// can take with their next calls.
    std::vector<Entry> take(const BatchTerms &terms, const Offer &offer, Clock::TimePoint now);

    /// Returns how many waiting pieces go before another one.
    std::size_t ahead(const Piece &piece, const BatchTerms &terms, Clock::TimePoint now) const;

    /// Removes and returns the pieces whose deadline has passed.
    std::vector<Entry> takeLate(Clock::TimePoint now);

    /// Removes and returns all pieces.
    std::vector<Entry> takeAll();

    /// Forgets the pieces of a request that nobody waits for any more.
    void cancel(const std::string &origin, const std::string &requestId);

    bool empty() const;
    std::size_t size() const;

private:
    /// The place of a piece in the order, the smallest first.
    static std::tuple<bool, unsigned, Clock::TimePoint, std::uint64_t> urgency(const Piece &piece, const BatchTerms &terms,
                                                                               Clock::TimePoint now);

    std::vector<Entry> m_entries;
};

} // namespace Guavalock
