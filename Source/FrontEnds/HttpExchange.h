#pragma once

#include "Kernel/Refusal.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <memory>
#include <string>
#include <string_view>

namespace Guavalock
{

class Cancellation;

/// One request on a caller's connection and the answer to it.
class HttpExchange
{
public:
    using Request = boost::beast::http::request<boost::beast::http::string_body>;

    HttpExchange(boost::asio::ip::tcp::socket &socket, Request request, std::shared_ptr<Cancellation> cancellation, bool closeAfter);

    std::string_view method() const;

    /// Returns the path without the query.
    std::string_view path() const;

    /// Returns a header's value, or empty when it is absent.
    std::string_view header(std::string_view name) const;

    const std::string &body() const;

    /// Is cancelled when the caller closes the connection.
    Cancellation &cancellation();

    boost::asio::awaitable<void> respond(unsigned status, std::string_view contentType, std::string body);

    /// Answers with the refusal as JSON and its HTTP status.
    boost::asio::awaitable<void> refuse(Refusal refusal, std::string requestId);

    /// Starts an answer of server-sent events.
    boost::asio::awaitable<bool> startEvents();

    /// Sends bytes of events. Returns false when the connection is gone.
    boost::asio::awaitable<bool> sendEvents(std::string bytes);

    /// Ends the stream of events in the regular way.
    boost::asio::awaitable<void> endEvents();

    bool streaming() const;

    /// Returns whether the connection can take another request.
    bool keepAlive() const;

private:
    boost::asio::ip::tcp::socket &m_socket;
    Request m_request;
    std::shared_ptr<Cancellation> m_cancellation;
    bool m_keepAlive = true;
    bool m_streaming = false;
};

} // namespace Guavalock
