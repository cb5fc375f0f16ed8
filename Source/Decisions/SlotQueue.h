#pragma once

#include "Decisions/StageRequirements.h"

#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <string>

namespace Guavalock
{

/// The queue of stage calls that wait for a slot of one pool, with weighted fair queueing among organisations.
///
/// The organisation with the least service relative to its weight is next. Within an organisation urgent calls come first, then those
/// with the earliest deadline. An organisation that starts to wait joins at the queue's virtual time, so that idle time earns no
/// credit.
class SlotQueue
{
public:
    using Ticket = std::uint64_t;

    struct Entry {
        Ticket ticket = 0;
        StageRequirements requirements;
    };

    void push(Entry entry);

    /// Returns the next entry without removing it, or null when the queue is empty.
    const Entry *next() const;

    /// Removes an entry that has been given a slot and charges its organisation.
    void markServed(Ticket ticket);

    /// Removes an entry that no longer waits. Returns false when it is not in the queue.
    bool withdraw(Ticket ticket);

    std::size_t size() const;

private:
    struct Organisation {
        double normalisedService = 0; ///< Number of calls served, divided by weight.
        std::list<Entry> waiting;
    };

    std::optional<Entry> extract(Ticket ticket);

    std::map<std::string, Organisation> m_organisations;
    std::map<Ticket, std::string> m_organisationOf;
    double m_virtualTime = 0; ///< The largest normalised service at which an organisation was served.
};

} // namespace Guavalock
