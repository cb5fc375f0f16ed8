#include "Tables/RequestTable.h"

#include "Decisions/Admission.h"

#include <utility>

namespace Guavalock
{

RequestTable::Reservation::Reservation(RequestTable &table, std::string organisation)
    : m_table(&table)
    , m_organisation(std::move(organisation))
{
}

RequestTable::Reservation::Reservation(Reservation &&other) noexcept
    : m_table(std::exchange(other.m_table, nullptr))
    , m_organisation(std::move(other.m_organisation))
{
}

RequestTable::Reservation &RequestTable::Reservation::operator=(Reservation &&other) noexcept
{
    std::swap(m_table, other.m_table);
    std::swap(m_organisation, other.m_organisation);
    return *this;
}

RequestTable::Reservation::~Reservation()
{
    if (m_table != nullptr) {
        m_table->release(m_organisation);
    }
}

RequestTable::RequestTable(std::size_t limit)
    : m_limit(limit)
{
}

ResultCode RequestTable::admit(const std::string &organisation, std::size_t organisationLimit, Reservation &reservation)
{
    {
        const std::scoped_lock lock(m_mutex);
        const auto it = m_inProgressByOrganisation.find(organisation);
        const std::size_t organisationInProgress = it == m_inProgressByOrganisation.end() ? 0 : it->second;
        const ResultCode code = Admission::decide({m_draining, m_inProgress, m_limit, organisationInProgress, organisationLimit});
        if (code != ResultCode::Ok) {
            return code;
        }
        ++m_inProgress;
        ++m_inProgressByOrganisation[organisation];
    }
    reservation = Reservation(*this, organisation);
    return ResultCode::Ok;
}

void RequestTable::release(const std::string &organisation)
{
    const std::scoped_lock lock(m_mutex);
    --m_inProgress;
    const auto it = m_inProgressByOrganisation.find(organisation);
    --it->second;
    if (it->second == 0) {
        m_inProgressByOrganisation.erase(it);
    }
}

void RequestTable::refuseNewRequests()
{
    const std::scoped_lock lock(m_mutex);
    m_draining = true;
}

bool RequestTable::draining() const
{
    const std::scoped_lock lock(m_mutex);
    return m_draining;
}

std::size_t RequestTable::inProgress() const
{
    const std::scoped_lock lock(m_mutex);
    return m_inProgress;
}

} // namespace Guavalock
