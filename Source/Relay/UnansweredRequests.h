#pragma once

#include "Decisions/RefusalCause.h"
#include "Kernel/RankedMutex.h"
#include "Relay/WaitingRequest.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>

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

    /// The request waits for its stages or for a target from now on, or, with nothing, is being sent to a target. Called on the request's
    /// strand.
    void setWaiting(const Cancellation &request, std::optional<WaitingRequest> waiting);

    /// Cancels all of them, so that each is refused.
    void cancelAll(RefusalCause cause);

    /// Cancels those that wait and fulfil a condition. The condition may take locks of a higher rank.
    void cancelWaiting(const std::function<bool(const WaitingRequest &)> &condition, RefusalCause cause);

private:
    struct Entry {
        std::shared_ptr<Cancellation> request;
        std::optional<WaitingRequest> waiting;
    };

    bool contains(const Cancellation &request);
    bool isWaiting(const Cancellation &request);

    RankedMutex m_mutex{LockRank::Requests};
    std::map<const Cancellation *, Entry> m_requests;
};

} // namespace Guavalock
