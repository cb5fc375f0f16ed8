#include "Relay/UnansweredRequests.h"

#include "Flow/Cancellation.h"

#include <boost/asio/post.hpp>

namespace Guavalock
{

void UnansweredRequests::add(const std::shared_ptr<Cancellation> &request)
{
    const std::scoped_lock lock(m_mutex);
    m_requests[request.get()] = request;
}

void UnansweredRequests::remove(const Cancellation &request)
{
    const std::scoped_lock lock(m_mutex);
    m_requests.erase(&request);
}

bool UnansweredRequests::contains(const Cancellation &request)
{
    const std::scoped_lock lock(m_mutex);
    return m_requests.contains(&request);
}

void UnansweredRequests::cancelAll(RefusalCause cause)
{
    const std::scoped_lock lock(m_mutex);
    for (const auto &[key, request] : m_requests) {
        // Responses begin on the request's strand, so none can begin between the check and the cancellation.
        boost::asio::post(request->strand(), [this, request = request, cause] {
            if (contains(*request)) {
                request->cancel(cause);
            }
        });
    }
}

} // namespace Guavalock
