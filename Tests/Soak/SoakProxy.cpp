#include "SoakProxy.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <array>

namespace Guavalock
{

namespace Asio = boost::asio;

namespace
{

constexpr std::chrono::milliseconds delay{150};
constexpr std::chrono::milliseconds stallPollInterval{20};

} // namespace

SoakProxy::SoakProxy(Asio::any_io_executor executor, const Endpoint &from, const Endpoint &to)
    : m_executor(std::move(executor))
    , m_to(to)
    , m_acceptor(m_executor, from, [this](Acceptor::Socket socket) {
        const Asio::any_io_executor strand = socket.get_executor();
        Asio::co_spawn(strand, serve(std::move(socket)), Asio::detached);
    })
{
}

void SoakProxy::start()
{
    m_acceptor.start();
}

void SoakProxy::setMode(Mode mode)
{
    m_mode = mode;
}

Asio::awaitable<void> SoakProxy::serve(Acceptor::Socket socket)
{
    const auto caller = std::make_shared<Asio::ip::tcp::socket>(std::move(socket));
    const auto target = std::make_shared<Asio::ip::tcp::socket>(caller->get_executor());
    const Asio::ip::tcp::endpoint remote(Asio::ip::make_address(m_to.address), m_to.port);
    const auto [ec] = co_await target->async_connect(remote, Asio::as_tuple(Asio::use_awaitable));
    if (ec || m_mode == Mode::Reset) {
        co_return;
    }
    Asio::co_spawn(caller->get_executor(), forward(caller, target, false), Asio::detached);
    Asio::co_spawn(caller->get_executor(), forward(target, caller, true), Asio::detached);
}

Asio::awaitable<void> SoakProxy::forward(Socket from, Socket to, bool isResponse)
{
    std::array<char, 16'384> buffer{};
    Asio::steady_timer timer(from->get_executor());
    boost::system::error_code ignored;
    while (true) {
        const auto [ec, bytesRead] = co_await from->async_read_some(Asio::buffer(buffer), Asio::as_tuple(Asio::use_awaitable));
        if (ec || m_mode == Mode::Reset) {
            break;
        }
        if (m_mode == Mode::Delay) {
            timer.expires_after(delay);
            co_await timer.async_wait(Asio::as_tuple(Asio::use_awaitable));
        }
        while (m_mode == Mode::Stall || (isResponse && m_mode == Mode::StallResponses)) {
            timer.expires_after(stallPollInterval);
            co_await timer.async_wait(Asio::as_tuple(Asio::use_awaitable));
        }
        const auto [writeError, bytesWritten]
            = co_await Asio::async_write(*to, Asio::buffer(buffer.data(), bytesRead), Asio::as_tuple(Asio::use_awaitable));
        if (writeError) {
            break;
        }
    }
    if (m_mode == Mode::Reset) {
        from->set_option(Asio::socket_base::linger(true, 0), ignored);
        to->set_option(Asio::socket_base::linger(true, 0), ignored);
    }
    from->close(ignored);
    to->close(ignored);
}

} // namespace Guavalock
