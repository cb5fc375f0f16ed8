#pragma once

#include "Flow/TokenSink.h"
#include "Kernel/Refusal.h"

#include <boost/json/object.hpp>

#include <string>

namespace Guavalock
{

class HttpExchange;

/// Sends a generated response to a client as server-sent events: `token` events, then one `end` or one `refusal`.
///
/// The HTTP response starts with the first token, so a request refused before that gets an HTTP error status.
class EventStream : public TokenSink
{
public:
    explicit EventStream(HttpExchange &exchange);

    boost::asio::awaitable<Next> accept(std::vector<GeneratedToken> tokens) override;

    /// Sends the end event with the token count, the checksum and the remaining output fields.
    boost::asio::awaitable<void> end(boost::json::object output, std::string requestId);

    /// Sends a refusal, as an event if the stream has started.
    boost::asio::awaitable<void> refuse(Refusal refusal, std::string requestId);

private:
    boost::asio::awaitable<bool> ensureStarted();
    boost::asio::awaitable<void> finish(std::string bytes);

    HttpExchange &m_exchange;
};

} // namespace Guavalock
