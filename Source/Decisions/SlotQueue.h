#pragma once

#include "Decisions/StageDemand.h"

#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <string>

namespace Guavalock
{

/// Stage calls that wait for a slot of one pool.
///
/// The organisation that was served least for its weight goes next; within it urgent calls first, then the earliest deadline.
/// An organisation that starts to wait begins level with the least served of those waiting, so idle time earns no credit.
class SlotQueue
{
public:
    using Ticket = std::uint64_t;

    struct Entry {
        Ticket ticket = 0;
        StageDemand demand;
    };

    void push(Entry entry);

    /// Returns the entry to serve next, without removing it.
    const Entry *next() const;

    /// Removes an entry that was served and charges its organisation.
    void served(Ticket ticket);

    /// Removes an entry that gave up. Returns false when it is not waiting.
    bool withdraw(Ticket ticket);

    std::size_t size() const;

private:
    struct Organisation {
        double served = 0; ///< Calls served, divided by weight.
        std::list<Entry> waiting;
    };

    std::optional<Entry> take(Ticket ticket);

    std::map<std::string, Organisation> m_waiting;
    std::map<Ticket, std::string> m_organisationOf;
    double m_level = 0; ///< The served value that the organisation served last had before.
};

} // namespace Guavalock
