#pragma once

#include <boost/asio/awaitable.hpp>

namespace Guavalock
{

class HttpExchange;

/// Answers the requests of one HTTP server.
class HttpHandler
{
public:
    virtual ~HttpHandler() = default;

    /// Answers one request. Runs on the strand of its connection.
    virtual boost::asio::awaitable<void> handle(HttpExchange &exchange) = 0;
};

} // namespace Guavalock
