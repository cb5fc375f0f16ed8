#include "FrontEnds/EventStream.h"

#include "FrontEnds/HttpExchange.h"
#include "FrontEnds/RefusalJson.h"

#include <boost/json/serialize.hpp>

namespace Guavalock
{

namespace Asio = boost::asio;

namespace
{

std::string event(const char *name, const boost::json::object &data)
{
    return std::string("event: ") + name + "\ndata: " + boost::json::serialize(data) + "\n\n";
}

/// Writes one token event by hand, since there is one for each token: only the text needs escaping.
void appendToken(std::string &bytes, const Part &part)
{
    bytes += "event: token\ndata: {\"position\":";
    bytes += std::to_string(part.position);
    bytes += ",\"text\":";
    bytes += boost::json::serialize(boost::json::string_view(part.text));
    bytes += "}\n\n";
}

} // namespace

EventStream::EventStream(HttpExchange &exchange)
    : m_exchange(exchange)
{
}

Asio::awaitable<PartSink::Next> EventStream::take(std::vector<Part> parts)
{
    if (!m_exchange.streaming() && !co_await m_exchange.startEvents()) {
        co_return Next::Stop;
    }
    std::string bytes;
    for (const Part &it : parts) {
        appendToken(bytes, it);
    }
    const bool sent = co_await m_exchange.sendEvents(std::move(bytes));
    co_return sent ? Next::Go : Next::Stop;
}

Asio::awaitable<void> EventStream::end(boost::json::object output, std::string requestId)
{
    if (!m_exchange.streaming() && !co_await m_exchange.startEvents()) {
        co_return;
    }
    // The caller has the text already, token by token.
    output.erase("text");
    output["request_id"] = requestId;
    if (co_await m_exchange.sendEvents(event("end", output))) {
        co_await m_exchange.endEvents();
    }
}

Asio::awaitable<void> EventStream::refuse(Refusal refusal, std::string requestId)
{
    if (!m_exchange.streaming()) {
        co_await m_exchange.refuse(std::move(refusal), std::move(requestId));
        co_return;
    }
    if (co_await m_exchange.sendEvents(event("refusal", RefusalJson::of(refusal, requestId)))) {
        co_await m_exchange.endEvents();
    }
}

} // namespace Guavalock
