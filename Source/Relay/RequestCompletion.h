#pragma once

#include "Kernel/Refusal.h"
#include "Relay/RelayContext.h"

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <string>
#include <string_view>

namespace Guavalock
{

class ArrivalAdmission;
class ResponseSink;
struct OpaqueRequest;
struct RequestHistory;
struct RouteRecord;
struct StreamProgress;

/// Ends one request towards the client with a refusal, and logs its end. All arguments outlive the object.
class RequestCompletion
{
public:
    RequestCompletion(const RelayContext &context, const OpaqueRequest &request, const RequestHistory &history,
                      const StreamProgress &progress, ResponseSink &sink);

    /// Sets what is known of the request once it is routed. The route may be null.
    void setRoute(const RouteRecord *route, std::string configuration);

    /// Sets the decision that admitted the request, which learns how the request ends.
    void setArrival(const ArrivalAdmission *arrival);

    /// The refusal to send. Its time after which the client may return is kept by refuse().
    Refusal &refusal();

    /// Refuses the request truthfully: where it may have been executed, the client is told so. A stream that has started is aborted.
    boost::asio::awaitable<void> refuse(ResultCode code, std::string reason);

    /// Refuses a request that is still without a response when the daemon ends.
    boost::asio::awaitable<void> refuseForStop();

    /// Sends the refusal as it is.
    boost::asio::awaitable<void> sendRefusal();

    void recordRetry(std::string_view cause, std::chrono::milliseconds remaining) const;
    void log(std::string_view outcome, unsigned status) const;

private:
    const RelayContext &m_context;
    const OpaqueRequest &m_request;
    const RequestHistory &m_history;
    const StreamProgress &m_progress;
    ResponseSink &m_sink;
    const RouteRecord *m_route = nullptr;
    const ArrivalAdmission *m_arrival = nullptr; ///< Null for requests without stages.
    std::string m_configuration = "none";
    Refusal m_refusal;
};

} // namespace Guavalock
