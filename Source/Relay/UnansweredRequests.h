#pragma once

#include "Decisions/RefusalCause.h"
#include "Kernel/RankedMutex.h"

#include <map>
#include <memory>

namespace Guavalock
{

class Cancellation;

/// The requests in progress of which no part of a response has been sent yet. Lock rank: Requests.
class UnansweredRequests
{
public:
    void add(const std::shared_ptr<Cancellation> &request);

    /// The response has begun, or the request has ended. Called on the request's strand.
    void remove(const Cancellation &request);

    /// Cancels all of them, so that each is refused.
    void cancelAll(RefusalCause cause);

private:
    bool contains(const Cancellation &request);

    RankedMutex m_mutex{LockRank::Requests};
    std::map<const Cancellation *, std::shared_ptr<Cancellation>> m_requests;
};

} // namespace Guavalock
