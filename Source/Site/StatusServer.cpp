#include "Site/StatusServer.h"

#include "Flow/DeadlineTimer.h"
#include "Net/MessageFraming.h"
#include "Net/ReadBuffer.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

namespace Guavalock
{

namespace Asio = boost::asio;
namespace Http = boost::beast::http;

namespace
{

constexpr std::chrono::seconds idleTimeout{30}; ///< Well above the polling interval of probes and scrapers.

} // namespace

StatusServer::StatusServer(Asio::any_io_executor executor, const Endpoint &endpoint, Handler handler)
    : m_handler(std::move(handler))
    , m_acceptor(std::move(executor), endpoint, [this](Acceptor::Socket socket) {
        const Asio::any_io_executor strand = socket.get_executor();
        Asio::co_spawn(strand, serve(std::move(socket)), Asio::detached);
    })
{
}

void StatusServer::start()
{
    m_acceptor.start();
}

boost::system::error_code StatusServer::tryStart()
{
    return m_acceptor.tryStart();
}

void StatusServer::stop()
{
    m_acceptor.stop();
}

Asio::awaitable<void> StatusServer::serve(Acceptor::Socket socket)
{
    ReadBuffer buffer;
    while (socket.is_open()) {
        const DeadlineTimer idle(socket.get_executor(), Clock::TimePoint::clock::now() + idleTimeout, [&socket] { socket.close(); });
        Http::request_parser<Http::empty_body> parser;
        const auto [headError, headSize] = co_await Http::async_read_header(socket, buffer, parser, Asio::as_tuple(Asio::use_awaitable));
        if (headError || MessageFraming::findFault(parser.get(), parser.get().version())) {
            co_return;
        }
        const auto [readError, n] = co_await Http::async_read(socket, buffer, parser, Asio::as_tuple(Asio::use_awaitable));
        if (readError) {
            co_return;
        }
        const Http::request<Http::empty_body> request = parser.release();
        Response page = m_handler(std::string(request.target()));
        Http::response<Http::string_body> response(static_cast<Http::status>(page.status), request.version());
        response.set(Http::field::content_type, "text/plain");
        response.keep_alive(request.keep_alive());
        response.body() = std::move(page.body);
        response.prepare_payload();
        if (request.method() == Http::verb::head) {
            response.body().clear(); // Its length stays in the head.
        }
        const auto [writeError, m] = co_await Http::async_write(socket, response, Asio::as_tuple(Asio::use_awaitable));
        if (writeError || !request.keep_alive()) {
            co_return;
        }
    }
}

} // namespace Guavalock
