#include "Relay/UpstreamExchange.h"

#include "Flow/DeadlineTimer.h"
#include "Net/Connection.h"
#include "Net/MessageFraming.h"
#include "Relay/RelayCodec.h"
#include "Targets/ConnectionTable.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/bind_executor.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>

namespace Guavalock
{

namespace Asio = boost::asio;
namespace Http = boost::beast::http;

namespace
{

/// Far above any valid response. A buffered response is limited by BufferBudget as well.
constexpr std::uint64_t maxResponseBytes = 64ULL * 1024 * 1024;

} // namespace

UpstreamExchange::PendingWrite::PendingWrite(const Asio::any_io_executor &strand, std::string request)
    : text(std::move(request))
    , ended(strand, Clock::TimePoint::max())
{
}

UpstreamExchange::UpstreamExchange(ConnectionTable &connections, const RelayCodec &codec, Asio::any_io_executor strand)
    : m_connections(connections)
    , m_codec(codec)
    , m_strand(std::move(strand))
{
}

UpstreamExchange::~UpstreamExchange() = default;

Asio::awaitable<bool> UpstreamExchange::open(const Endpoint &endpoint, bool allowReuse, Clock::TimePoint deadline)
{
    m_parser.reset();
    m_connection = allowReuse ? m_connections.takeIdle(endpoint) : nullptr;
    m_reused = m_connection != nullptr;
    if (m_reused) {
        co_return true;
    }
    m_connection = m_connections.create(endpoint);
    const DeadlineTimer timer(m_strand, deadline, [this] { m_connection->close(); });
    const bool connected = co_await m_connection->connect();
    co_return connected && !m_closed;
}

bool UpstreamExchange::reused() const
{
    return m_reused;
}

void UpstreamExchange::send(std::string text)
{
    const auto pendingWrite = std::make_shared<PendingWrite>(m_strand, std::move(text));
    m_pendingWrite = pendingWrite;
    const auto onEnd = [pendingWrite](const boost::system::error_code &ec, std::size_t) {
        pendingWrite->isRunning = false;
        pendingWrite->succeeded = !ec;
        pendingWrite->ended.cancel();
    };
    Asio::async_write(m_connection->socket(), Asio::buffer(pendingWrite->text), Asio::bind_executor(m_strand, onEnd));
}

Asio::awaitable<bool> UpstreamExchange::finishWrite()
{
    const std::shared_ptr<PendingWrite> pendingWrite = m_pendingWrite;
    while (pendingWrite->isRunning && !m_closed) {
        co_await pendingWrite->ended.async_wait(Asio::as_tuple(Asio::use_awaitable));
    }
    co_return pendingWrite->succeeded;
}

Asio::awaitable<std::optional<UpstreamResponseHead>> UpstreamExchange::head(bool isHeadRequest)
{
    m_parser.emplace();
    m_parser->body_limit(maxResponseBytes);
    m_parser->skip(isHeadRequest);
    const auto [ec, n]
        = co_await Http::async_read_header(m_connection->socket(), m_connection->buffer(), *m_parser, Asio::as_tuple(Asio::use_awaitable));
    if (ec) {
        recordReadError(ec);
        co_return std::nullopt;
    }
    if (const std::optional<std::string> fault = MessageFraming::findResponseFault(m_parser->get())) {
        m_invalidity = *fault;
        co_return std::nullopt;
    }
    co_return m_codec.parseResponse(m_parser->get().base());
}

void UpstreamExchange::recordReadError(const boost::system::error_code &ec)
{
    const bool isLoss = ec == Http::error::end_of_stream || ec == Http::error::partial_message;
    if (ec.category() == Http::make_error_code(Http::error::bad_value).category() && !isLoss) {
        m_invalidity = ec == Http::error::buffer_overflow ? "a chunk header or the trailer exceeds the size limit" : ec.message();
    }
}

const std::string &UpstreamExchange::invalidity() const
{
    return m_invalidity;
}

bool UpstreamExchange::endsWithConnection() const
{
    return m_parser && m_parser->need_eof();
}

Asio::awaitable<UpstreamExchange::ReadResult> UpstreamExchange::read(std::string &data)
{
    if (!m_parser->is_done()) {
        auto [ec, n] = co_await Http::async_read_some(m_connection->socket(), m_connection->buffer(), *m_parser,
                                                      Asio::as_tuple(Asio::use_awaitable));
        if (ec) {
            recordReadError(ec);
            co_return ReadResult::Failed;
        }
    }
    std::string &body = m_parser->get().body();
    data += body;
    body.clear();
    if (m_parser->is_done() && endsWithConnection()) {
        // The kernel reports a reset once. If the write of the request gets the error, the read sees a regular end of the connection.
        const bool written = co_await finishWrite();
        if (!written) {
            co_return ReadResult::Failed;
        }
    }
    co_return m_parser->is_done() ? ReadResult::Complete : ReadResult::More;
}

void UpstreamExchange::release(std::size_t maxIdle)
{
    const bool complete = m_pendingWrite && m_pendingWrite->succeeded && m_parser && m_parser->is_done() && m_parser->keep_alive();
    if (!complete || m_closed || !m_connection->reusable()) {
        close();
        return;
    }
    m_connections.release(std::move(m_connection), maxIdle);
    m_connection = nullptr;
}

void UpstreamExchange::close()
{
    m_closed = true;
    if (m_connection) {
        m_connection->close();
    }
}

} // namespace Guavalock
