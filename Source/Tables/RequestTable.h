#pragma once

#include "Kernel/RankedMutex.h"
#include "Kernel/ResultCode.h"

#include <cstddef>
#include <map>
#include <string>

namespace Guavalock
{

/// Counts the requests in progress by organisation and admits new ones within the limits. Lock rank: Requests.
class RequestTable
{
public:
    /// RAII handle that counts one request as in progress until it is destroyed.
    class Reservation
    {
    public:
        Reservation() = default;
        Reservation(RequestTable &table, std::string organisation);
        Reservation(Reservation &&other) noexcept;
        Reservation &operator=(Reservation &&other) noexcept;
        ~Reservation();

    private:
        RequestTable *m_table = nullptr;
        std::string m_organisation;
    };

    explicit RequestTable(std::size_t limit);

    /// Admits a request, or returns the code with which it is refused. On Ok, reservation counts the request as in progress.
    ResultCode admit(const std::string &organisation, std::size_t organisationLimit, Reservation &reservation);

    /// Refuses all further requests as Draining.
    void refuseNewRequests();

    bool draining() const;

    std::size_t inProgress() const;

private:
    void release(const std::string &organisation);

    mutable RankedMutex m_mutex{LockRank::Requests};
    std::size_t m_limit;
    std::size_t m_inProgress = 0;
    bool m_draining = false;
    std::map<std::string, std::size_t> m_inProgressByOrganisation;
};

} // namespace Guavalock
