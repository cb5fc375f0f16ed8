#include "Net/Acceptor.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/system/system_error.hpp>

namespace Guavalock
{

namespace Asio = boost::asio;

namespace
{

constexpr std::chrono::milliseconds acceptRetryDelay{50}; ///< Delay after a failed accept, such as when no file descriptors are left.

} // namespace

Acceptor::Acceptor(Asio::any_io_executor executor, Endpoint endpoint, Handler handler)
    : m_executor(std::move(executor))
    , m_strand(Asio::make_strand(m_executor))
    , m_endpoint(std::move(endpoint))
    , m_handler(std::move(handler))
    , m_acceptor(m_strand)
{
}

void Acceptor::start()
{
    if (const boost::system::error_code ec = tryStart()) {
        throw boost::system::system_error(ec, m_endpoint.text());
    }
}

boost::system::error_code Acceptor::tryStart()
{
    boost::system::error_code ec;
    const Asio::ip::tcp::endpoint local(Asio::ip::make_address(m_endpoint.address, ec), m_endpoint.port);
    if (!ec) {
        m_acceptor.open(local.protocol(), ec);
    }
    if (!ec) {
        m_acceptor.set_option(Asio::socket_base::reuse_address(true), ec);
    }
    if (!ec) {
        m_acceptor.bind(local, ec);
    }
    if (!ec) {
        m_acceptor.listen(Asio::socket_base::max_listen_connections, ec);
    }
    if (ec) {
        boost::system::error_code ignored;
        m_acceptor.close(ignored);
        return ec;
    }
    Asio::co_spawn(m_strand, accept(), Asio::detached);
    return {};
}

void Acceptor::stop()
{
    Asio::post(m_strand, [this] {
        boost::system::error_code ignored;
        m_acceptor.close(ignored);
    });
}

Asio::awaitable<void> Acceptor::accept()
{
    Asio::steady_timer timer(m_strand);
    while (m_acceptor.is_open()) {
        Socket socket(Asio::make_strand(m_executor));
        const auto [ec] = co_await m_acceptor.async_accept(socket, Asio::as_tuple(Asio::use_awaitable));
        if (ec == Asio::error::operation_aborted) {
            co_return;
        }
        if (ec) {
            timer.expires_after(acceptRetryDelay);
            co_await timer.async_wait(Asio::as_tuple(Asio::use_awaitable));
            continue;
        }
        m_handler(std::move(socket));
    }
}

} // namespace Guavalock
