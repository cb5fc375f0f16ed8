#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>

namespace Guavalock
{

/// A minimal HTTP server on one loopback port, used by the fakes. All handlers run on one strand.
class FakeServer
{
public:
    using Request = boost::beast::http::request<boost::beast::http::string_body>;
    using Response = boost::beast::http::response<boost::beast::http::string_body>;
    using Socket = boost::asio::ip::tcp::socket;

    /// Responds to one request on its connection. Returns false to close the connection.
    using Handler = std::function<boost::asio::awaitable<bool>(Socket &socket, Request request)>;

    FakeServer(boost::asio::any_io_executor strand, std::uint16_t port, Handler handler);

    void listen();

    /// Closes the listening socket and every connection, as the exit of a process does.
    void closeAll();

    const boost::asio::any_io_executor &strand() const;

    /// Returns the number of open connections. Thread-safe.
    std::size_t connectionCount() const;

    static boost::asio::awaitable<bool> send(Socket &socket, Response response);
    static Response jsonResponse(unsigned status, std::string body);

    /// Returns whether the peer has closed the connection.
    static bool peerClosed(Socket &socket);

private:
    boost::asio::awaitable<void> accept();
    boost::asio::awaitable<void> serve(std::shared_ptr<Socket> socket);

    boost::asio::any_io_executor m_strand;
    std::uint16_t m_port;
    Handler m_handler;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::set<std::shared_ptr<Socket>> m_sockets;
    std::atomic<std::size_t> m_connectionCount{0};
};

} // namespace Guavalock
