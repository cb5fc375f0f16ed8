#include "Relay/RelayFrontEnd.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace Guavalock
{

namespace Asio = boost::asio;

RelayFrontEnd::RelayFrontEnd(const RelayContext &context, Asio::any_io_executor executor, const Endpoint &endpoint)
    : m_context(context)
    , m_acceptor(std::move(executor), endpoint, [this](Acceptor::Socket socket) {
        const Asio::any_io_executor strand = socket.get_executor();
        Asio::co_spawn(strand, serve(std::move(socket)), Asio::detached);
    })
{
}

void RelayFrontEnd::start()
{
    m_acceptor.start();
}

void RelayFrontEnd::startDraining()
{
    m_sharedState.draining = true;
}

void RelayFrontEnd::close()
{
    m_sharedState.closed = true;
    m_acceptor.stop();
}

std::size_t RelayFrontEnd::requestsInProgress() const
{
    return m_sharedState.requests;
}

Asio::awaitable<void> RelayFrontEnd::serve(Acceptor::Socket socket)
{
    RelaySession session(m_context, std::move(socket), m_sharedState);
    co_await session.run();
}

} // namespace Guavalock
