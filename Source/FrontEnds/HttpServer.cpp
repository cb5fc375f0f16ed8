#include "FrontEnds/HttpServer.h"

#include "FrontEnds/HttpSession.h"
#include "Kernel/Counter.h"
#include "Kernel/Metrics.h"
#include "Pipeline/DaemonContext.h"
#include "Settings/ProcessSettings.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace Guavalock
{

namespace Asio = boost::asio;

HttpServer::HttpServer(const DaemonContext &context, const Endpoint &endpoint, HttpHandler &handler)
    : m_context(context)
    , m_handler(handler)
    , m_acceptor(context.executor, endpoint, [this](Acceptor::Socket socket) { handleConnection(std::move(socket)); })
    , m_refused(context.metrics.counter("connections_refused_total"))
{
}

void HttpServer::start()
{
    m_acceptor.start();
}

void HttpServer::handleConnection(Acceptor::Socket socket)
{
    if (m_connections >= m_context.settings.limits.connections) {
        m_refused.add();
        return;
    }
    const Asio::any_io_executor strand = socket.get_executor();
    Asio::co_spawn(strand, serve(std::move(socket)), Asio::detached);
}

Asio::awaitable<void> HttpServer::serve(Asio::ip::tcp::socket socket)
{
    ++m_connections;
    HttpSession session(m_context, std::move(socket), m_handler, m_closeAfterResponses);
    co_await session.run();
    --m_connections;
}

void HttpServer::closeAfterResponses()
{
    m_closeAfterResponses = true;
}

void HttpServer::stopAccepting()
{
    m_acceptor.stop();
}

std::size_t HttpServer::connections() const
{
    return m_connections;
}

} // namespace Guavalock
