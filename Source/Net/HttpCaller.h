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

    HttpCaller(boost::asio::any_io_executor strand, Endpoint endpoint);
    ~HttpCaller();

    /// Returns the answer, or nothing when none came whole within the timeout; the call may then have had its effect.
    boost::asio::awaitable<std::optional<Answer>> call(Request request, std::chrono::milliseconds timeout);

private:
    boost::asio::awaitable<std::optional<Answer>> exchange(const Request &request);

    boost::asio::any_io_executor m_strand;
    Endpoint m_endpoint;
    std::unique_ptr<Connection> m_connection;
};

} // namespace Guavalock
