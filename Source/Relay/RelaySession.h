#pragma once

#include "Relay/AnswerSink.h"
#include "Relay/OpaqueRequest.h"
#include "Relay/RelayParts.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <atomic>
#include <memory>
#include <optional>

namespace Guavalock
{

class Cancellation;

/// One caller's connection: reads opaque requests within the limits, one at a time, and writes their answers.
class RelaySession : public AnswerSink
{
public:
    struct Gate {
        std::atomic<bool> draining{false}; ///< Every answer closes its connection.
        std::atomic<bool> closed{false}; ///< New requests are refused.
        std::atomic<std::size_t> requests{0}; ///< In progress.
        std::atomic<std::size_t> connections{0};
    };

    RelaySession(const RelayParts &parts, boost::asio::ip::tcp::socket socket, Gate &gate);
    ~RelaySession() override;

    /// Serves the connection until it ends.
    boost::asio::awaitable<void> run();

    boost::asio::awaitable<bool> whole(const AnswerHead &head, const std::string &body) override;
    boost::asio::awaitable<bool> begin(const AnswerHead &head) override;
    boost::asio::awaitable<bool> part(const std::string &data) override;
    boost::asio::awaitable<bool> end() override;
    boost::asio::awaitable<bool> refuse(const Refusal &refusal) override;
    void cut() override;

private:
    using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    /// Shared with the wait for the caller's closing, which may end after the session.
    struct Watch {
        bool live = true;
    };

    boost::asio::awaitable<bool> waitForRequest();
    boost::asio::awaitable<std::optional<OpaqueRequest>> readRequest();
    boost::asio::awaitable<bool> readBody(Parser &parser);
    boost::asio::awaitable<void> serve(OpaqueRequest request);
    boost::asio::awaitable<bool> refuseInput(ResultCode code, std::string reason);
    boost::asio::awaitable<bool> write(std::string text);
    std::shared_ptr<Watch> watchForClose(const std::shared_ptr<Cancellation> &cancellation);
    std::string headText(unsigned status, const HttpFields &fields) const;
    bool closing() const;

    const RelayParts &m_parts;
    boost::asio::ip::tcp::socket m_socket;
    Gate &m_gate;
    boost::beast::flat_buffer m_buffer;
    std::string m_unsent; ///< The head of an answer in parts, until its first part.
    bool m_keepAlive = true;
};

} // namespace Guavalock
