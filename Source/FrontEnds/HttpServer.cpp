#include "FrontEnds/HttpServer.h"

#include "FrontEnds/HttpSession.h"
#include "Kernel/Counter.h"
#include "Kernel/Metrics.h"
#include "Pipeline/Services.h"
#include "Settings/ProcessSettings.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace Guavalock
{

namespace Asio = boost::asio;

namespace
{

constexpr std::chrono::milliseconds acceptPause{50}; ///< After a failed accept, as when descriptors run out.

} // namespace

HttpServer::HttpServer(const Services &services, Endpoint endpoint, HttpHandler &handler)
    : m_services(services)
    , m_endpoint(std::move(endpoint))
    , m_handler(handler)
    , m_strand(Asio::make_strand(services.executor))
    , m_acceptor(m_strand)
    , m_refused(services.metrics.counter("connections_refused_total"))
{
}

void HttpServer::start()
{
    const Asio::ip::tcp::endpoint local(Asio::ip::make_address(m_endpoint.address), m_endpoint.port);
    m_acceptor.open(local.protocol());
    m_acceptor.set_option(Asio::socket_base::reuse_address(true));
    m_acceptor.bind(local);
    m_acceptor.listen();
    Asio::co_spawn(m_strand, accept(), Asio::detached);
}

Asio::awaitable<void> HttpServer::accept()
{
    Asio::steady_timer timer(m_strand);
    while (m_acceptor.is_open()) {
        Asio::ip::tcp::socket socket(Asio::make_strand(m_services.executor));
        const auto [ec] = co_await m_acceptor.async_accept(socket, Asio::as_tuple(Asio::use_awaitable));
        if (ec == Asio::error::operation_aborted) {
            co_return;
        }
        if (ec) {
            timer.expires_after(acceptPause);
            co_await timer.async_wait(Asio::as_tuple(Asio::use_awaitable));
            continue;
        }
        if (m_connections >= m_services.settings.limits.connections) {
            m_refused.add();
            continue;
        }
        const Asio::any_io_executor strand = socket.get_executor();
        Asio::co_spawn(strand, serve(std::move(socket)), Asio::detached);
    }
}

Asio::awaitable<void> HttpServer::serve(Asio::ip::tcp::socket socket)
{
    ++m_connections;
    HttpSession session(m_services, std::move(socket), m_handler, m_closing);
    co_await session.run();
    --m_connections;
}

void HttpServer::closeAfterAnswers()
{
    m_closing = true;
}

void HttpServer::stopAccepting()
{
    Asio::post(m_strand, [this] {
        boost::system::error_code ignored;
        m_acceptor.close(ignored);
    });
}

std::size_t HttpServer::connections() const
{
    return m_connections;
}

} // namespace Guavalock
