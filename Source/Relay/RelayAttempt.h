#pragma once

#include "Fleet/AttemptReport.h"
#include "Fleet/SelectedTarget.h"
#include "Relay/AttemptOutcome.h"
#include "Relay/RelayContext.h"
#include "Relay/UpstreamExchange.h"
#include "Relay/UpstreamParameters.h"

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <functional>
#include <optional>

namespace Guavalock
{

class ResponseSink;
class Cancellation;
struct OpaqueRequest;
struct RouteRecord;
struct StreamProgress;

/// Sends a request to one target, reads the response, and forwards streams as they arrive.
class RelayAttempt
{
public:
    struct Parameters {
        const OpaqueRequest &request;
        const RouteRecord &route;
        SelectedTarget target;
        UpstreamParameters upstream;
        bool mayReuseConnection; ///< An idle connection may be used.
        std::size_t maxIdleConnections; ///< Limit on idle connections kept to the target.
        /// Timeout for the first byte of the response; unset if no retry is possible.
        std::optional<std::chrono::milliseconds> firstByteTimeout;
        /// Maximum time between two complete events of a stream. Other bytes, such as comments, are no progress.
        std::chrono::milliseconds eventTimeout;
        std::function<bool()> mayAbandon; ///< Called when that timeout expires; the attempt continues if it returns false.
    };

    RelayAttempt(const RelayContext &context, Parameters parameters, StreamProgress &progress, ResponseSink &sink,
                 Cancellation &cancellation);

    /// Sets a handler for the first event of a stream. At that point, the target has read the request's inputs and its prompt.
    void onStreamStarted(std::function<void()> handler);

    boost::asio::awaitable<AttemptOutcome> run();

    /// Returns when the first event of a stream arrived in this attempt, or nothing.
    const std::optional<Clock::TimePoint> &firstEventTime() const;

    /// Returns the attempt's result for the target's health and load statistics.
    const AttemptReport &report() const;

private:
    boost::asio::awaitable<AttemptOutcome> exchange();
    /// Returns whether a response is a stream, and continues the one that the client has received in part, if there is one.
    bool isStream(const UpstreamResponseHead &head) const;
    boost::asio::awaitable<bool> sendRequest();
    boost::asio::awaitable<AttemptOutcome> readComplete(UpstreamResponseHead head);
    boost::asio::awaitable<AttemptOutcome> forwardStream(UpstreamResponseHead head);
    boost::asio::awaitable<bool> forwardChunk(const UpstreamResponseHead &head, const std::string &data);
    AttemptOutcome makeOutcome(AttemptOutcome::Result result, AttemptReport::Outcome reportEnd);
    AttemptOutcome makeFailureOutcome();
    std::string serializeRequest() const;

    const RelayContext &m_context;
    Parameters m_parameters;
    StreamProgress &m_progress;
    ResponseSink &m_sink;
    Cancellation &m_cancellation;
    UpstreamExchange m_exchange;
    std::function<void()> m_onStreamStarted;
    AttemptReport m_report;
    std::optional<Clock::TimePoint> m_firstEventTime;
    bool m_timedOut = false;
};

} // namespace Guavalock
