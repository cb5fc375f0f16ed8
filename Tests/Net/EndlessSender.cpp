#include "EndlessSender.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

namespace Guavalock
{

namespace Asio = boost::asio;

EndlessSender::Result EndlessSender::run(const Endpoint &server, const std::string &begin, const std::string &repeated,
                                         std::chrono::milliseconds limit)
{
    Result result;
    Asio::io_context context;
    Asio::ip::tcp::socket socket(context);
    socket.connect({Asio::ip::make_address(server.address), server.port});
    const auto send = [&]() -> Asio::awaitable<void> {
        std::string text = begin;
        while (!result.closed) {
            const auto [ec, n] = co_await Asio::async_write(socket, Asio::buffer(text), Asio::as_tuple(Asio::use_awaitable));
            result.sentBytes += n;
            result.closed = ec.failed();
            text = repeated;
        }
    };
    Asio::co_spawn(context, send, Asio::detached);
    context.run_for(limit);
    return result;
}

} // namespace Guavalock
