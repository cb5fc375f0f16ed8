#pragma once

#include "Kernel/RankedMutex.h"

#include <memory>

namespace Guavalock
{

class Catalogue;

/// Holds the current catalogue. Its lock has rank Registry, the lowest, so that it can be read before any other table is locked.
class CatalogueTable
{
public:
    /// Returns the current catalogue, or null if none has been received yet.
    std::shared_ptr<const Catalogue> current() const;

    /// Replaces the current catalogue if the given one has a higher version. Returns whether it was replaced.
    bool replaceIfNewer(std::shared_ptr<const Catalogue> catalogue);

private:
    mutable RankedMutex m_mutex{LockRank::Registry};
    std::shared_ptr<const Catalogue> m_current;
};

} // namespace Guavalock
