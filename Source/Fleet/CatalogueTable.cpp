#include "Fleet/CatalogueTable.h"

#include "Fleet/Catalogue.h"

namespace Guavalock
{

std::shared_ptr<const Catalogue> CatalogueTable::current() const
{
    const std::scoped_lock lock(m_mutex);
    return m_current;
}

bool CatalogueTable::replaceIfNewer(std::shared_ptr<const Catalogue> catalogue)
{
    const std::scoped_lock lock(m_mutex);
    if (m_current && catalogue->version() <= m_current->version()) {
        return false;
    }
    m_current = std::move(catalogue);
    return true;
}

} // namespace Guavalock
