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

/// A small HTTP server for stand-ins, on one loopback port. Everything runs on one strand.
class FakeServer
{
public:
    using Request = boost::beast::http::request<boost::beast::http::string_body>;
    using Response = boost::beast::http::response<boost::beast::http::string_body>;
    using Socket = boost::asio::ip::tcp::socket;

    /// Answers one request on its connection. Returns false to have the connection closed.
    using Handler = std::function<boost::asio::awaitable<bool>(Socket &socket, Request request)>;

    FakeServer(boost::asio::any_io_executor strand, std::uint16_t port, Handler handler);

    void open();

    /// Closes the listening socket and every connection, as a process that dies does.
    void die();

    const boost::asio::any_io_executor &strand() const;

    /// Returns how many connections are open. Callable from any thread.
    std::size_t connections() const;

    static boost::asio::awaitable<bool> send(Socket &socket, Response response);
    static Response json(unsigned status, std::string body);

    /// Returns whether the other end has closed the connection.
    static bool closed(Socket &socket);

private:
    boost::asio::awaitable<void> accept();
    boost::asio::awaitable<void> serve(std::shared_ptr<Socket> socket);

    boost::asio::any_io_executor m_strand;
    std::uint16_t m_port;
    Handler m_handler;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::set<std::shared_ptr<Socket>> m_open;
    std::atomic<std::size_t> m_connections{0};
};

} // namespace Guavalock
