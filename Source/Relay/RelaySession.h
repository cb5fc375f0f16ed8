#pragma once

#include "Net/ReadBuffer.h"
#include "Relay/OpaqueRequest.h"
#include "Relay/RelayContext.h"
#include "Relay/ResponseSink.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <atomic>
#include <memory>
#include <optional>

namespace Guavalock
{

class Cancellation;

/// One client connection: reads opaque requests one at a time, enforces the size and time limits, and writes the responses.
class RelaySession : public ResponseSink
{
public:
    /// State shared by all sessions of a front end.
    struct SharedState {
        std::atomic<bool> draining{false}; ///< Connections are closed after the next response that can announce it.
        std::atomic<bool> closed{false}; ///< New requests are refused.
        std::atomic<std::size_t> requests{0}; ///< Requests in progress.
        std::atomic<std::size_t> connections{0};
    };

    RelaySession(const RelayContext &context, boost::asio::ip::tcp::socket socket, SharedState &sharedState);
    ~RelaySession() override;

    /// Serves the connection until it is closed.
    boost::asio::awaitable<void> run();

    boost::asio::awaitable<bool> sendComplete(const UpstreamResponseHead &head, const std::string &body) override;
    boost::asio::awaitable<bool> startStream(const UpstreamResponseHead &head) override;
    boost::asio::awaitable<bool> sendChunk(const std::string &data) override;
    boost::asio::awaitable<bool> finishStream() override;
    boost::asio::awaitable<bool> sendRefusal(const Refusal &refusal) override;
    void abortStream() override;

private:
    using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    boost::asio::awaitable<bool> waitForRequest();
    boost::asio::awaitable<std::optional<OpaqueRequest>> readRequest();
    boost::asio::awaitable<bool> readBody(Parser &parser);
    boost::asio::awaitable<void> serve(OpaqueRequest request);
    boost::asio::awaitable<bool> rejectRequest(ResultCode code, std::string reason);
    boost::asio::awaitable<bool> write(std::string text);
    /// Returns a response with its length, and with its body if the request and the status permit one.
    std::string formatResponse(unsigned status, const HttpFields &fields, const std::string &body);
    std::string formatHead(unsigned status, const HttpFields &fields);
    bool closesAfterResponse() const;

    const RelayContext &m_context;
    boost::asio::ip::tcp::socket m_socket;
    SharedState &m_sharedState;
    ReadBuffer m_buffer;
    std::string m_pendingHead; ///< Headers of a streamed response, sent together with its first chunk.
    bool m_isHeadRequest = false;
    bool m_keepAlive = true;
    bool m_isLost = false; ///< A write has failed. Another one may never complete.
    bool m_closeAnnounced = false; ///< The client was told in a response that its connection ends.
};

} // namespace Guavalock
