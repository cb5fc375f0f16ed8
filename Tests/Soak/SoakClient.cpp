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

constexpr timeval receiveTimeout{8, 0}; ///< Exceeds every route's timeout plus the 0.5 s allowed for the final response.
constexpr int eventsPerStream = 5; ///< Number of events that a fake target sends.

} // namespace

SoakClient::SoakClient(Endpoint daemon)
    : m_daemon(std::move(daemon))
{
}

SoakClient::~SoakClient() = default;

bool SoakClient::ensureConnected()
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
        ::setsockopt(m_socket->native_handle(), SOL_SOCKET, SO_RCVTIMEO, &receiveTimeout, sizeof receiveTimeout);
    }
    return !ec;
}

bool SoakClient::correct(Kind kind, const std::string &id, const std::string &body)
{
    if (kind != Kind::Streaming) {
        return body == id + ":" + "body of " + id;
    }
    std::size_t at = 0;
    for (int it = 1; it <= eventsPerStream; ++it) {
        const std::string expectedPrefix = "id: " + std::to_string(it) + "\ndata: " + id + " 127.0.0.1:";
        if (body.compare(at, expectedPrefix.size(), expectedPrefix) != 0) {
            return false;
        }
        at = body.find("\n\n", at) + 2;
    }
    return at == body.size();
}

SoakClient::Result SoakClient::send(Kind kind, const std::string &id, const std::string &key)
{
    Result result{id, kind};
    if (ensureConnected()) {
        const std::string path = kind == Kind::Idempotent ? "/safe/x" : kind == Kind::NonIdempotent ? "/once/x" : "/stream/x";
        Http::request<Http::string_body> request(Http::verb::post, path, 11);
        request.set(Http::field::host, "h");
        request.set("X-Guavalock-Attempt-Id", id);
        request.set("Api-Key", key);
        if (kind == Kind::Streaming) {
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
        result.complete = !ec;
        result.status = parser.is_header_done() ? parser.get().result_int() : 0;
        result.correct = correct(kind, id, parser.get().body());
        if (ec || !parser.keep_alive()) {
            m_socket->close(ec);
        }
    }
    result.end = std::chrono::steady_clock::now();
    return result;
}

} // namespace Guavalock
