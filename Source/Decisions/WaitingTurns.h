#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace Guavalock
{

/// The order in which the requests of one service that wait at this daemon get their turns: those with a lower rank first, then those that
/// have waited longer.
class WaitingTurns
{
public:
    /// Adds a request, or does nothing if it waits already.
    void join(const std::string &id, unsigned rank);

    void leave(const std::string &id);

    /// Returns how many waiting requests come before the request. One that doesn't wait yet comes after those of its rank.
    std::size_t ahead(const std::string &id, unsigned rank) const;

    bool empty() const;

private:
    struct Entry {
        std::string id;
        unsigned rank = 0;
    };

    std::vector<Entry> m_entries; ///< In their order.
};

} // namespace Guavalock
