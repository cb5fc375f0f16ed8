#pragma once

#include "Kernel/ResultCode.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <atomic>
#include <memory>
#include <optional>

namespace Guavalock
{

class Cancellation;
class HttpExchange;
class HttpHandler;
struct Services;

/// One caller's connection: reads requests within the limits, one at a time, and has each answered.
class HttpSession
{
public:
    HttpSession(const Services &services, boost::asio::ip::tcp::socket socket, HttpHandler &handler, const std::atomic<bool> &closing);

    /// Serves the connection until it ends.
    boost::asio::awaitable<void> run();

private:
    using Request = boost::beast::http::request<boost::beast::http::string_body>;

    /// Shared with the wait for the caller's closing, which may end after the session.
    struct Watch {
        bool live = true;
    };

    boost::asio::awaitable<bool> waitForData();
    boost::asio::awaitable<std::optional<Request>> readRequest(ResultCode &code);
    boost::asio::awaitable<void> refuse(ResultCode code);
    std::shared_ptr<Watch> watchForClose(const std::shared_ptr<Cancellation> &cancellation);

    const Services &m_services;
    boost::asio::ip::tcp::socket m_socket;
    HttpHandler &m_handler;
    const std::atomic<bool> &m_closing;
    boost::beast::flat_buffer m_buffer;
};

} // namespace Guavalock
