#include "FrontEnds/EventStream.h"

#include "FrontEnds/HttpExchange.h"
#include "FrontEnds/RefusalJson.h"

#include <boost/json/serialize.hpp>

namespace Guavalock
{

namespace Asio = boost::asio;

namespace
{

constexpr std::size_t typicalTokenEventBytes = 96; ///< Approximate size of one token event.

std::string formatEvent(const char *name, const boost::json::object &data)
{
    return std::string("event: ") + name + "\ndata: " + boost::json::serialize(data) + "\n\n";
}

/// Formats one token event without building a JSON object, since it runs once for each token. Only the text needs escaping.
void appendToken(std::string &bytes, const GeneratedToken &part)
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

Asio::awaitable<bool> EventStream::ensureStarted()
{
    bool begun = m_exchange.streaming();
    if (!begun) {
        begun = co_await m_exchange.startEventStream();
    }
    co_return begun;
}

Asio::awaitable<TokenSink::Next> EventStream::accept(std::vector<GeneratedToken> tokens)
{
    if (!m_exchange.streaming()) {
        const bool begun = co_await ensureStarted();
        if (!begun) {
            co_return Next::Stop;
        }
    }
    std::string bytes;
    bytes.reserve(tokens.size() * typicalTokenEventBytes);
    for (const GeneratedToken &it : tokens) {
        appendToken(bytes, it);
    }
    const bool sent = co_await m_exchange.sendEvents(std::move(bytes));
    co_return sent ? Next::Continue : Next::Stop;
}

Asio::awaitable<void> EventStream::finish(std::string bytes)
{
    const bool sent = co_await m_exchange.sendEvents(std::move(bytes));
    if (sent) {
        co_await m_exchange.endEventStream();
    }
}

Asio::awaitable<void> EventStream::end(boost::json::object output, std::string requestId)
{
    // The client has already received the text as token events.
    output.erase("text");
    output["request_id"] = requestId;
    std::string bytes = formatEvent("end", output);
    const bool begun = co_await ensureStarted();
    if (begun) {
        co_await finish(std::move(bytes));
    }
}

Asio::awaitable<void> EventStream::refuse(Refusal refusal, std::string requestId)
{
    if (!m_exchange.streaming()) {
        co_await m_exchange.refuse(std::move(refusal), std::move(requestId));
        co_return;
    }
    std::string bytes = formatEvent("refusal", RefusalJson::fromRefusal(refusal, requestId));
    co_await finish(std::move(bytes));
}

} // namespace Guavalock
