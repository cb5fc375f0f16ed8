#pragma once

#include "Kernel/Clock.h"
#include "Relay/AnswerHead.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
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

/// One request to one target and its answer, read as it arrives. Runs on one strand.
class UpstreamExchange
{
public:
    enum class Progress {
        More, ///< The answer goes on.
        End, ///< The answer is complete.
        Broken, ///< The connection ended, or the bytes are no answer.
    };

    UpstreamExchange(ConnectionTable &connections, const RelayCodec &codec, boost::asio::any_io_executor strand);
    ~UpstreamExchange();

    /// Connects, or takes an idle connection where that is allowed. Returns false when there is none in time; nothing was sent.
    boost::asio::awaitable<bool> open(const Endpoint &endpoint, bool mayReuse, Clock::TimePoint until);

    /// Returns whether the connection had been used before.
    bool reused() const;

    /// Begins to send the bytes of a request. A target may answer before it has read them all.
    void send(std::string text);

    /// Returns the answer's head, or nothing when the connection broke or the bytes are no answer.
    boost::asio::awaitable<std::optional<AnswerHead>> head();

    /// Appends body bytes that have arrived; returns whether more are to come.
    boost::asio::awaitable<Progress> read(std::string &data);

    /// Keeps the connection for another request if the answer is complete, nothing else was sent and few are idle; closes it otherwise.
    void finish(std::size_t mostIdle);

    /// Ends every wait. The target drops the request when its connection closes.
    void close();

private:
    /// Shared with the write, which may end after the exchange.
    struct Sending {
        std::string text;
        bool done = false;
    };

    ConnectionTable &m_connections;
    const RelayCodec &m_codec;
    boost::asio::any_io_executor m_strand;
    std::unique_ptr<Connection> m_connection;
    std::optional<boost::beast::http::response_parser<boost::beast::http::string_body>> m_parser;
    bool m_reused = false;
    std::shared_ptr<Sending> m_sending;
    bool m_closed = false;
};

} // namespace Guavalock
