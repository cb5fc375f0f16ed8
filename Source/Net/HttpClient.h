#pragma once

#include "Settings/Endpoint.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace Guavalock
{

class Connection;

/// HTTP client for short messages to one server over a persistent connection. Runs one call at a time, on one strand.
class HttpClient
{
public:
    struct Request {
        std::string method = "GET";
        std::string path;
        std::string body;
        std::vector<std::pair<std::string, std::string>> headers;
    };

    struct Response {
        unsigned status = 0;
        std::string body;
        std::string load; ///< Value of the load header; empty if absent.
        std::vector<std::pair<std::string, std::string>> headers;
    };

    /// Why the last call returned no response.
    enum class Failure {
        None, ///< It returned a response.
        NotConnected, ///< Nothing was sent.
        ConnectionLost, ///< The connection was lost before the response was complete.
        TimedOut, ///< The response was not complete within the timeout.
    };

    /// Bounds the memory that a faulty server can occupy. Above the largest answer of a record store.
    static constexpr std::uint64_t defaultMaxResponseBytes = 8ULL * 1024 * 1024;

    HttpClient(boost::asio::any_io_executor strand, Endpoint endpoint, std::uint64_t maxResponseBytes = defaultMaxResponseBytes);
    ~HttpClient();

    /// Sends a request. Returns nullopt if no complete response arrives within the timeout; the server may have processed the request.
    boost::asio::awaitable<std::optional<Response>> call(Request request, std::chrono::milliseconds timeout);

    /// As above, with a separate timeout for establishing a connection, which also applies to later calls.
    boost::asio::awaitable<std::optional<Response>> call(Request request, std::chrono::milliseconds connectTimeout,
                                                         std::chrono::milliseconds timeout);

    Failure failure() const;

    /// Returns whether the last call was sent over the connection of an earlier call, so that its response may be a late one to that call.
    bool reused() const;

private:
    boost::asio::awaitable<bool> ensureConnected();
    boost::asio::awaitable<std::optional<Response>> exchange(const Request &request);

    boost::asio::any_io_executor m_strand;
    Endpoint m_endpoint;
    std::uint64_t m_maxResponseBytes;
    std::unique_ptr<Connection> m_connection;
    std::optional<std::chrono::milliseconds> m_connectTimeout;
    Failure m_failure = Failure::None;
    bool m_reused = false;
};

} // namespace Guavalock
