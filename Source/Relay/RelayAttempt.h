#pragma once

#include "Fleet/TargetPick.h"
#include "Fleet/TargetReport.h"
#include "Relay/AttemptOutcome.h"
#include "Relay/RelayParts.h"
#include "Relay/SendTerms.h"
#include "Relay/UpstreamExchange.h"

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <functional>
#include <optional>

namespace Guavalock
{

class AnswerSink;
class Cancellation;
struct OpaqueRequest;
struct RouteRecord;
struct StreamProgress;

/// One attempt at one target: sends the request, reads the answer, passes streams on as they arrive.
class RelayAttempt
{
public:
    struct Terms {
        const OpaqueRequest &request;
        const RouteRecord &route;
        TargetPick target;
        SendTerms send;
        std::size_t mostIdle; ///< Connections that may be kept to the target.
        std::optional<std::chrono::milliseconds> silenceLimit; ///< To the answer's first byte; none when waiting is all that is left.
        std::function<bool()> mayGiveUp; ///< Asked when that time has passed; the attempt goes on when it returns false.
    };

    RelayAttempt(const RelayParts &parts, Terms terms, StreamProgress &progress, AnswerSink &sink, Cancellation &cancellation);

    /// Runs when the target has begun to answer a stream: it has read its inputs and its prompt.
    void onBegun(std::function<void()> handler);

    boost::asio::awaitable<AttemptOutcome> run();

    /// Returns what the attempt says of the target.
    const TargetReport &report() const;

private:
    boost::asio::awaitable<AttemptOutcome> exchange();
    boost::asio::awaitable<bool> sendRequest();
    boost::asio::awaitable<AttemptOutcome> whole(AnswerHead head);
    boost::asio::awaitable<AttemptOutcome> stream(AnswerHead head);
    boost::asio::awaitable<bool> passOn(const AnswerHead &head, const std::string &data);
    AttemptOutcome ended(AttemptOutcome::End end, TargetReport::End report);
    AttemptOutcome broken();
    std::string requestText() const;

    const RelayParts &m_parts;
    Terms m_terms;
    StreamProgress &m_progress;
    AnswerSink &m_sink;
    Cancellation &m_cancellation;
    UpstreamExchange m_exchange;
    std::function<void()> m_begun;
    TargetReport m_report;
    bool m_silent = false;
};

} // namespace Guavalock
