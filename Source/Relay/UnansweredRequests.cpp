#include "Relay/UnansweredRequests.h"

#include "Flow/Cancellation.h"

#include <boost/asio/post.hpp>

namespace Guavalock
{

void UnansweredRequests::add(const std::shared_ptr<Cancellation> &request)
{
    const std::scoped_lock lock(m_mutex);
    m_requests[request.get()] = {request, std::nullopt};
}

void UnansweredRequests::remove(const Cancellation &request)
{
    const std::scoped_lock lock(m_mutex);
    m_requests.erase(&request);
}

void UnansweredRequests::setWaiting(const Cancellation &request, std::optional<WaitingRequest> waiting)
{
    const std::scoped_lock lock(m_mutex);
    if (const auto it = m_requests.find(&request); it != m_requests.end()) {
        it->second.waiting = std::move(waiting);
    }
}

bool UnansweredRequests::contains(const Cancellation &request)
{
    const std::scoped_lock lock(m_mutex);
    return m_requests.contains(&request);
}

bool UnansweredRequests::isWaiting(const Cancellation &request)
{
    const std::scoped_lock lock(m_mutex);
    const auto it = m_requests.find(&request);
    return it != m_requests.end() && it->second.waiting;
}

void UnansweredRequests::cancelAll(RefusalCause cause)
{
    const std::scoped_lock lock(m_mutex);
    for (const auto &[key, entry] : m_requests) {
        // Responses begin on the request's strand, so none can begin between the check and the cancellation.
        boost::asio::post(entry.request->strand(), [this, request = entry.request, cause] {
            if (contains(*request)) {
                request->cancel(cause);
            }
        });
    }
}

void UnansweredRequests::cancelWaiting(const std::function<bool(const WaitingRequest &)> &condition, RefusalCause cause)
{
    const std::scoped_lock lock(m_mutex);
    for (const auto &[key, entry] : m_requests) {
        if (!entry.waiting || !condition(*entry.waiting)) {
            continue;
        }
        boost::asio::post(entry.request->strand(), [this, request = entry.request, cause] {
            if (isWaiting(*request)) {
                request->cancel(cause);
            }
        });
    }
}

} // namespace Guavalock
