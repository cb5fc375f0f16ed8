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

/// One request on a client connection and the response to it.
class HttpExchange
{
public:
    using Request = boost::beast::http::request<boost::beast::http::string_body>;

    HttpExchange(boost::asio::ip::tcp::socket &socket, Request request, std::shared_ptr<Cancellation> cancellation, bool closeAfter);

    std::string_view method() const;

    /// Returns the path without the query.
    std::string_view path() const;

    /// Returns the value of a header, or an empty string if it is absent.
    std::string_view header(std::string_view name) const;

    const std::string &body() const;

    /// Returns the cancellation that fires when the client closes the connection.
    Cancellation &cancellation();

    boost::asio::awaitable<void> respond(unsigned status, std::string_view contentType, std::string body);

    /// Sends the refusal as JSON with its HTTP status code.
    boost::asio::awaitable<void> refuse(Refusal refusal, std::string requestId);

    /// Sends the headers of a server-sent event stream. Returns false if the connection is lost.
    boost::asio::awaitable<bool> startEventStream();

    /// Sends event data. Returns false if the connection is lost.
    boost::asio::awaitable<bool> sendEvents(std::string bytes);

    /// Ends the event stream with the last chunk.
    boost::asio::awaitable<void> endEventStream();

    bool streaming() const;

    /// Returns whether the connection can be used for another request.
    bool keepAlive() const;

private:
    using Response = boost::beast::http::response<boost::beast::http::string_body>;

    /// Sends a response, without its body if the request is HEAD.
    boost::asio::awaitable<void> write(Response &response);

    /// Applies the result of a write. Returns whether it succeeded; if not, the request is cancelled because its client is gone.
    bool applyWrite(const boost::system::error_code &ec);

    boost::asio::ip::tcp::socket &m_socket;
    Request m_request;
    std::shared_ptr<Cancellation> m_cancellation;
    bool m_keepAlive = true;
    bool m_isLost = false; ///< A write has failed. Another one may never complete.
    bool m_streaming = false;
};

} // namespace Guavalock
