#pragma once

#include "Kernel/ResultCode.h"
#include "Net/ReadBuffer.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
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
struct DaemonContext;

/// One client connection: reads requests one at a time, enforces the size and time limits, and passes each to the handler.
class HttpSession
{
public:
    HttpSession(const DaemonContext &context, boost::asio::ip::tcp::socket socket, HttpHandler &handler, const std::atomic<bool> &closing);

    /// Serves the connection until it is closed.
    boost::asio::awaitable<void> run();

private:
    using Request = boost::beast::http::request<boost::beast::http::string_body>;

    boost::asio::awaitable<bool> waitForData();
    boost::asio::awaitable<std::optional<Request>> readRequest(ResultCode &code);
    boost::asio::awaitable<void> refuse(ResultCode code);

    const DaemonContext &m_context;
    boost::asio::ip::tcp::socket m_socket;
    HttpHandler &m_handler;
    const std::atomic<bool> &m_closeAfterResponse;
    ReadBuffer m_buffer;
};

} // namespace Guavalock
