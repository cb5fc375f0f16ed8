#include "SoakClient.h"

#include "Net/SocketState.h"

#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

namespace Guavalock
{

namespace Asio = boost::asio;
namespace Http = boost::beast::http;

namespace
{

constexpr timeval patience{8, 0}; ///< Longer than any route's timeout and the half second that its final answer may take.
constexpr int events = 5; ///< Of each stream of a stand-in.

} // namespace

SoakClient::SoakClient(Endpoint daemon)
    : m_daemon(std::move(daemon))
{
}

SoakClient::~SoakClient() = default;

bool SoakClient::connected()
{
    if (m_socket && m_socket->is_open()) {
        if (socketState(*m_socket) == SocketState::Idle) {
            return true;
        }
    }
    m_buffer.clear();
    m_socket = std::make_unique<Asio::ip::tcp::socket>(m_context);
    boost::system::error_code ec;
    m_socket->connect({Asio::ip::make_address(m_daemon.address), m_daemon.port}, ec);
    if (!ec) {
        ::setsockopt(m_socket->native_handle(), SOL_SOCKET, SO_RCVTIMEO, &patience, sizeof patience);
    }
    return !ec;
}

bool SoakClient::right(Kind kind, const std::string &id, const std::string &body)
{
    if (kind != Kind::Stream) {
        return body == id + ":" + "body of " + id;
    }
    std::size_t at = 0;
    for (int it = 1; it <= events; ++it) {
        const std::string begin = "id: " + std::to_string(it) + "\ndata: " + id + " 127.0.0.1:";
        if (body.compare(at, begin.size(), begin) != 0) {
            return false;
        }
        at = body.find("\n\n", at) + 2;
    }
    return at == body.size();
}

SoakClient::Result SoakClient::ask(Kind kind, const std::string &id, const std::string &key)
{
    Result result{id, kind};
    if (connected()) {
        const std::string path = kind == Kind::Safe ? "/safe/x" : kind == Kind::Once ? "/once/x" : "/stream/x";
        Http::request<Http::string_body> request(Http::verb::post, path, 11);
        request.set(Http::field::host, "h");
        request.set("X-Guavalock-Attempt-Id", id);
        request.set("Api-Key", key);
        if (kind == Kind::Stream) {
            request.set("X-Guavalock-Chunk-Count", "1,3");
            request.set("X-Guavalock-Chunk-Key", "key");
        }
        request.body() = "body of " + id;
        request.prepare_payload();
        boost::system::error_code ec;
        Http::write(*m_socket, request, ec);
        result.sent = !ec;
        Http::response_parser<Http::string_body> parser;
        Http::read(*m_socket, m_buffer, parser, ec);
        result.whole = !ec;
        result.status = parser.is_header_done() ? parser.get().result_int() : 0;
        result.right = right(kind, id, parser.get().body());
        if (ec || !parser.keep_alive()) {
            m_socket->close(ec);
        }
    }
    result.end = std::chrono::steady_clock::now();
    return result;
}

} // namespace Guavalock
