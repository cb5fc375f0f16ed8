#pragma once

#include "Kernel/RankedMutex.h"

#include <memory>

namespace Guavalock
{

class Catalogue;

/// The catalogue in force. Rank Registry, so that it may be asked before any other table.
class CatalogueTable
{
public:
    /// Returns the catalogue in force, or null before the first.
    std::shared_ptr<const Catalogue> current() const;

    /// Takes a newer catalogue over; returns false and keeps what it has when that is as new.
    bool adopt(std::shared_ptr<const Catalogue> catalogue);

private:
    mutable RankedMutex m_mutex{LockRank::Registry};
    std::shared_ptr<const Catalogue> m_current;
};

} // namespace Guavalock
