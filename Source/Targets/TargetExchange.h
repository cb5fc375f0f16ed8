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

class Cancellation;
class ConnectionTable;
class DeadlineTimer;
class PartSink;
class Connection;
class TargetDialect;
struct Part;
struct Slot;
struct StreamEvent;
struct TargetCall;

/// One HTTP exchange with a target: sends one call and reads its answer.
///
/// The connection goes back to the table only after the whole answer to this very attempt was read; in every other case it is
/// closed, which also tells the target to give up the call.
class TargetExchange
{
public:
    struct Wanted {
        const Slot &slot;
        const TargetDialect &dialect;
        const TargetCall &call;
        bool mayReuse = true; ///< False for calls that must not meet a connection the target is about to close.
        Clock::TimePoint end{};
    };

    TargetExchange(ConnectionTable &connections, Cancellation &cancellation, PartSink *sink);
    ~TargetExchange();

    boost::asio::awaitable<AttemptResult> run(Wanted wanted);

private:
    using Parser = boost::beast::http::response_parser<boost::beast::http::buffer_body>;

    boost::asio::awaitable<bool> connect(const Wanted &wanted);
    boost::asio::awaitable<bool> send(const Wanted &wanted);
    boost::asio::awaitable<void> readAnswer(const Wanted &wanted);
    boost::asio::awaitable<bool> readSome(std::string &bytes);
    boost::system::error_code parseArrived(std::string &bytes);
    boost::asio::awaitable<void> readWhole(const Wanted &wanted);
    boost::asio::awaitable<void> readStream(const Wanted &wanted);
    bool takeEvents(const Wanted &wanted, const std::vector<std::string> &events, std::vector<Part> &parts, bool &ended);
    bool headerFits(const Wanted &wanted);
    void takeStatus(unsigned status, std::string_view run);
    void broken(std::string detail);
    void finish(AttemptEnd end, std::string detail);

    ConnectionTable &m_connections;
    Cancellation &m_cancellation;
    PartSink *m_sink;
    std::unique_ptr<Connection> m_connection;
    std::unique_ptr<Parser> m_parser;
    const DeadlineTimer *m_timer = nullptr;
    bool m_sent = false;
    AttemptResult m_result;
};

} // namespace Guavalock
