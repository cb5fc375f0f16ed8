#pragma once

#include <boost/asio/awaitable.hpp>

namespace Guavalock
{

class HttpExchange;

/// Handles the requests of an HTTP server.
class HttpHandler
{
public:
    virtual ~HttpHandler() = default;

    /// Handles one request. Runs on the strand of its connection.
    virtual boost::asio::awaitable<void> handle(HttpExchange &exchange) = 0;
};

} // namespace Guavalock
