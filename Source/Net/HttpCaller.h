#pragma once

#include "Settings/Endpoint.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace Guavalock
{

class Connection;

/// Makes HTTP calls with short bodies to one server, over a connection that it keeps. One call at a time, on one strand.
class HttpCaller
{
public:
    struct Request {
        std::string method = "GET";
        std::string path;
        std::string body;
        std::vector<std::pair<std::string, std::string>> headers;
    };

    struct Answer {
        unsigned status = 0;
        std::string body;
        std::string load; ///< The load header, empty when absent.
    };

    /// Why the last call has no answer.
    enum class Failure {
        None,
        NotConnected, ///< Nothing was sent.
        Broken, ///< The connection ended first.
        TimedOut,
    };

    HttpCaller(boost::asio::any_io_executor strand, Endpoint endpoint);
    ~HttpCaller();

    /// Returns the answer, or nothing when none came whole within the timeout; the call may then have had its effect.
    boost::asio::awaitable<std::optional<Answer>> call(Request request, std::chrono::milliseconds timeout);

    /// As above, with a limit of its own for the connection.
    boost::asio::awaitable<std::optional<Answer>> call(Request request, std::chrono::milliseconds connectTimeout,
                                                       std::chrono::milliseconds timeout);

    Failure failure() const;

private:
    boost::asio::awaitable<bool> connected();
    boost::asio::awaitable<std::optional<Answer>> exchange(const Request &request);

    boost::asio::any_io_executor m_strand;
    Endpoint m_endpoint;
    std::unique_ptr<Connection> m_connection;
    std::optional<std::chrono::milliseconds> m_connectTimeout;
    Failure m_failure = Failure::None;
};

} // namespace Guavalock
