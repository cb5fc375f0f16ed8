#pragma once

#include "Flow/PartSink.h"
#include "Kernel/Refusal.h"

#include <boost/json/object.hpp>

#include <string>

namespace Guavalock
{

class HttpExchange;

/// Sends a generated answer to a caller as server-sent events: `token` events, then one `end` or one `refusal`.
///
/// The HTTP answer starts with the first token, so that a request refused before that gets an ordinary HTTP refusal.
class EventStream : public PartSink
{
public:
    explicit EventStream(HttpExchange &exchange);

    boost::asio::awaitable<Next> take(std::vector<Part> parts) override;

    /// Sends the end event with the token count, the checksum and the rest of the output.
    boost::asio::awaitable<void> end(boost::json::object output, std::string requestId);

    /// Sends a refusal, as an event when the stream has begun.
    boost::asio::awaitable<void> refuse(Refusal refusal, std::string requestId);

private:
    boost::asio::awaitable<bool> begin();
    boost::asio::awaitable<void> finish(std::string bytes);

    HttpExchange &m_exchange;
};

} // namespace Guavalock
