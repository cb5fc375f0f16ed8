#include "EarlyResponder.h"

#include "FakeAddress.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/read.hpp>

#include <algorithm>
#include <chrono>
#include <vector>

#include <sys/socket.h>

namespace Guavalock
{

namespace Asio = boost::asio;
namespace Http = boost::beast::http;

namespace
{

constexpr std::chrono::milliseconds resetDelay{60}; ///< Lets the caller read the response, which a reset may discard.

} // namespace

EarlyResponder::EarlyResponder(std::uint16_t port, int receiveBufferBytes)
    : m_acceptor(m_context)
{
    const Asio::ip::tcp::endpoint local(Asio::ip::make_address(FakeAddress::text()), port);
    m_acceptor.open(local.protocol());
    m_acceptor.set_option(Asio::socket_base::reuse_address(true));
    m_acceptor.set_option(Asio::socket_base::receive_buffer_size(receiveBufferBytes));
    m_acceptor.bind(local);
    m_acceptor.listen();
    m_thread = std::jthread([this] { run(); });
}

EarlyResponder::~EarlyResponder()
{
    // A blocking accept ends when the listening socket is shut down.
    ::shutdown(m_acceptor.native_handle(), SHUT_RDWR);
}

void EarlyResponder::setResponse(std::string statusLine, std::string headers, std::string body, Ending ending)
{
    m_statusLine = std::move(statusLine);
    m_headers = std::move(headers);
    m_body = std::move(body);
    m_ending = ending;
}

void EarlyResponder::run()
{
    for (;;) {
        boost::system::error_code ec;
        Asio::ip::tcp::socket socket(m_context);
        m_acceptor.accept(socket, ec);
        if (ec) {
            return;
        }
        serve(socket);
    }
}

void EarlyResponder::serve(Asio::ip::tcp::socket &socket) const
{
    boost::system::error_code ec;
    boost::beast::flat_buffer buffer;
    Http::request_parser<Http::empty_body> parser;
    parser.body_limit(boost::none);
    Http::read_header(socket, buffer, parser, ec);
    if (ec) {
        return;
    }
    const std::uint64_t length = parser.content_length().value_or(0);
    std::vector<char> rest(length - std::min<std::uint64_t>(length, buffer.size()));
    const auto readUpload = [&] {
        Asio::read(socket, Asio::buffer(rest), ec);
    };
    if (m_ending == Ending::UploadFirst) {
        readUpload();
    }
    const std::string text = m_statusLine + "\r\n" + m_headers
        + "X-Guavalock-Attempt-Id: " + std::string(parser.get()["X-Guavalock-Attempt-Id"]) + "\r\n\r\n" + m_body;
    Asio::write(socket, Asio::buffer(text), ec);
    if (m_ending == Ending::Reset) {
        std::this_thread::sleep_for(resetDelay);
        socket.set_option(Asio::socket_base::linger(true, 0), ec);
    }
    if (m_ending == Ending::HalfClose) {
        socket.shutdown(Asio::ip::tcp::socket::shutdown_send, ec);
        std::this_thread::sleep_for(resetDelay);
    }
    if (m_ending == Ending::HalfClose || m_ending == Ending::ReadUpload) {
        readUpload();
    }
    socket.close(ec);
}

} // namespace Guavalock
