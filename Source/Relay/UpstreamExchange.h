#pragma once

#include "Kernel/Clock.h"
#include "Relay/UpstreamResponseHead.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <memory>
#include <optional>
#include <string>

namespace Guavalock
{

class Connection;
class ConnectionTable;
class RelayCodec;
struct Endpoint;

/// One request to one target and its response, read incrementally. Runs on one strand.
class UpstreamExchange
{
public:
    enum class ReadResult {
        More, ///< More data is expected.
        Complete, ///< The response is complete.
        Failed, ///< The connection was lost, or the response is not valid HTTP.
    };

    UpstreamExchange(ConnectionTable &connections, const RelayCodec &codec, boost::asio::any_io_executor strand);
    ~UpstreamExchange();

    /// Connects, or takes an idle connection if allowed. Returns false if no connection is established in time; nothing was sent then.
    boost::asio::awaitable<bool> open(const Endpoint &endpoint, bool allowReuse, Clock::TimePoint deadline);

    /// Returns whether the connection was taken from the idle pool.
    bool reused() const;

    /// Starts writing a request without waiting, since a target may respond before it has read all of it.
    void send(std::string text);

    /// Reads the response headers. Returns nullopt if the connection is lost or they are not valid HTTP. The response to a HEAD request
    /// is complete then.
    boost::asio::awaitable<std::optional<UpstreamResponseHead>> head(bool isHeadRequest);

    /// Returns what made the response unreadable, or an empty string if it was readable as far as it was received.
    const std::string &invalidity() const;

    /// Returns whether the response has neither a length nor chunks, so that its body ends with the connection.
    bool endsWithConnection() const;

    /// Waits for body data and appends it to the argument.
    boost::asio::awaitable<ReadResult> read(std::string &data);

    /// Returns the connection to the idle pool if request and response are complete, no other data was received and the pool has room;
    /// closes it otherwise.
    void release(std::size_t maxIdle);

    /// Closes the connection, which ends every wait and makes the target abort the request.
    void close();

private:
    /// The write of the request, which may complete after the exchange is destroyed. Used on the strand only.
    struct PendingWrite {
        PendingWrite(const boost::asio::any_io_executor &strand, std::string request);

        std::string text;
        boost::asio::steady_timer ended; ///< Cancelled when the write ends.
        bool isRunning = true;
        bool succeeded = false;
    };

    void recordReadError(const boost::system::error_code &ec);

    /// Waits until the request has been written. Returns false if it was not written completely.
    boost::asio::awaitable<bool> finishWrite();

    ConnectionTable &m_connections;
    const RelayCodec &m_codec;
    boost::asio::any_io_executor m_strand;
    std::unique_ptr<Connection> m_connection;
    std::optional<boost::beast::http::response_parser<boost::beast::http::string_body>> m_parser;
    bool m_reused = false;
    std::shared_ptr<PendingWrite> m_pendingWrite;
    bool m_closed = false;
    std::string m_invalidity;
};

} // namespace Guavalock
