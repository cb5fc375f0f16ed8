#pragma once

#include "Flow/AttemptResult.h"

#include <boost/asio/awaitable.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

#include <memory>
#include <string>
#include <vector>

namespace Guavalock
{

class BufferBudget;
class Cancellation;
class ConnectionTable;
class DeadlineTimer;
class TokenSink;
class Connection;
class TargetDialect;
struct GeneratedToken;
struct Slot;
struct StreamEvent;
struct TargetCall;

/// One HTTP exchange with a target: sends one call and reads the response.
///
/// The connection is returned to the pool only after the complete response to this attempt has been read. Otherwise it is closed,
/// which also signals the target to abort the call.
class TargetExchange
{
public:
    struct Parameters {
        const Slot &slot;
        const TargetDialect &dialect;
        const TargetCall &call;
        bool mayReuse = true; ///< False for calls that must not be sent on an idle connection, which the target may close at any time.
        Clock::TimePoint deadline{};
    };

    TargetExchange(ConnectionTable &connections, BufferBudget &responseMemory, Cancellation &cancellation, TokenSink *sink);
    ~TargetExchange();

    boost::asio::awaitable<AttemptResult> run(Parameters parameters);

private:
    using Parser = boost::beast::http::response_parser<boost::beast::http::buffer_body>;

    boost::asio::awaitable<bool> connect(const Parameters &parameters);
    boost::asio::awaitable<bool> send(const Parameters &parameters);
    boost::asio::awaitable<void> readResponse(const Parameters &parameters);
    boost::asio::awaitable<bool> readSome(std::string &bytes);
    boost::system::error_code parseReceived(std::string &bytes);
    boost::asio::awaitable<void> readBody(const Parameters &parameters);
    boost::asio::awaitable<void> readStream(const Parameters &parameters);
    bool processEvents(const Parameters &parameters, const std::vector<std::string> &events, std::vector<GeneratedToken> &tokens,
                       bool &ended);
    bool checkHeader(const Parameters &parameters);
    void handleErrorStatus(unsigned status, std::string_view run);
    void finishInterrupted(std::string detail);
    void finish(StageAttemptOutcome end, std::string detail);

    ConnectionTable &m_connections;
    BufferBudget &m_responseMemory;
    Cancellation &m_cancellation;
    TokenSink *m_sink;
    std::unique_ptr<Connection> m_connection;
    std::unique_ptr<Parser> m_parser;
    const DeadlineTimer *m_timer = nullptr;
    bool m_sent = false;
    AttemptResult m_result;
};

} // namespace Guavalock
