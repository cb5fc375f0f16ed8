#include "FakeFleetTarget.h"

#include "FakeAddress.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <sstream>

namespace Guavalock
{

namespace Asio = boost::asio;
namespace Http = boost::beast::http;
namespace Json = boost::json;

namespace
{

constexpr const char *attemptIdHeader = "X-Guavalock-Attempt-Id";
constexpr const char *signatureHeader = "X-Guavalock-Server-Signature";
constexpr const char *expectInstanceHeader = "X-Guavalock-Expect-Instance";
constexpr const char *notExecutedHeader = "X-Guavalock-Not-Executed";
constexpr const char *promptPartsHeader = "X-Guavalock-Prefix-Hash";
constexpr const char *lastEventIdHeader = "Last-Event-Id";
constexpr const char *inputCountHeader = "X-Guavalock-Input-Count";
constexpr int eventsPerStream = 5;
constexpr std::size_t endlessBytes = 4'096; ///< Written at a time by endless responses.

} // namespace

FakeFleetTarget::FakeFleetTarget(const Asio::any_io_executor &strand, std::uint16_t port, std::string id)
    : m_server(strand, port, [this](FakeServer::Socket &socket, FakeServer::Request request) { return handle(socket, std::move(request)); })
    , m_port(port)
    , m_id(std::move(id))
{
}

void FakeFleetTarget::start()
{
    Asio::post(m_server.strand(), [this] { m_server.listen(); });
}

void FakeFleetTarget::setFault(Fault fault, std::size_t requests)
{
    const std::scoped_lock lock(m_mutex);
    m_fault = fault;
    m_remainingFaults = requests;
}

void FakeFleetTarget::crashOn(const std::string &promptPart, std::chrono::milliseconds downTime)
{
    const std::scoped_lock lock(m_mutex);
    m_crashingPart = promptPart;
    m_downTime = downTime;
}

std::vector<std::chrono::steady_clock::time_point> FakeFleetTarget::partArrivals() const
{
    const std::scoped_lock lock(m_mutex);
    return m_partArrivals;
}

std::vector<std::chrono::steady_clock::time_point> FakeFleetTarget::crashes() const
{
    const std::scoped_lock lock(m_mutex);
    return m_crashes;
}

bool FakeFleetTarget::hasCrashingPart(const FakeServer::Request &request)
{
    const std::scoped_lock lock(m_mutex);
    const std::string parts(request[promptPartsHeader]);
    if (m_crashingPart.empty() || parts.find(m_crashingPart + ":") == std::string::npos) {
        return false;
    }
    m_partArrivals.push_back(std::chrono::steady_clock::now());
    return true;
}

Asio::awaitable<void> FakeFleetTarget::crash()
{
    std::chrono::milliseconds downTime{0};
    {
        const std::scoped_lock lock(m_mutex);
        m_crashes.push_back(std::chrono::steady_clock::now());
        downTime = m_downTime;
    }
    m_server.closeAll();
    Asio::steady_timer timer(m_server.strand(), downTime);
    co_await timer.async_wait(Asio::as_tuple(Asio::use_awaitable));
    m_server.listen();
}

void FakeFleetTarget::setServiceTime(std::chrono::milliseconds serviceTime)
{
    const std::scoped_lock lock(m_mutex);
    m_serviceTime = serviceTime;
}

std::map<std::string, std::size_t> FakeFleetTarget::runs() const
{
    const std::scoped_lock lock(m_mutex);
    return m_executionCounts;
}

std::size_t FakeFleetTarget::maxBatchSize() const
{
    const std::scoped_lock lock(m_mutex);
    return m_maxBatchSize;
}

std::size_t FakeFleetTarget::batches() const
{
    const std::scoped_lock lock(m_mutex);
    return m_batchCount;
}

std::size_t FakeFleetTarget::results() const
{
    const std::scoped_lock lock(m_mutex);
    return m_storedResults.size();
}

std::string FakeFleetTarget::resultOwner(const std::string &handle) const
{
    const std::scoped_lock lock(m_mutex);
    const auto it = m_resultOwners.find(handle);
    return it == m_resultOwners.end() ? std::string() : it->second;
}

std::size_t FakeFleetTarget::foreignInputs() const
{
    const std::scoped_lock lock(m_mutex);
    return m_foreignInputs;
}

std::size_t FakeFleetTarget::arrivals() const
{
    const std::scoped_lock lock(m_mutex);
    return m_requestCount;
}

std::size_t FakeFleetTarget::connections() const
{
    return m_server.connectionCount();
}

std::string FakeFleetTarget::lastHeaders() const
{
    const std::scoped_lock lock(m_mutex);
    return m_lastHeaders;
}

FakeFleetTarget::Fault FakeFleetTarget::consumeFault()
{
    const std::scoped_lock lock(m_mutex);
    if (m_remainingFaults == 0) {
        return Fault::None;
    }
    --m_remainingFaults;
    return m_fault;
}

Asio::awaitable<void> FakeFleetTarget::simulateWork()
{
    std::chrono::milliseconds serviceTime{0};
    {
        const std::scoped_lock lock(m_mutex);
        serviceTime = m_serviceTime;
    }
    Asio::steady_timer timer(m_server.strand(), serviceTime);
    co_await timer.async_wait(Asio::as_tuple(Asio::use_awaitable));
}

FakeServer::Response FakeFleetTarget::signedResponse(const FakeServer::Request &request, unsigned status, std::string body) const
{
    FakeServer::Response response = FakeServer::jsonResponse(status, std::move(body));
    response.set(attemptIdHeader, request[attemptIdHeader]);
    response.set(signatureHeader, m_id + ".1");
    return response;
}

Asio::awaitable<bool> FakeFleetTarget::handle(FakeServer::Socket &socket, FakeServer::Request request)
{
    {
        const std::scoped_lock lock(m_mutex);
        ++m_requestCount;
        std::ostringstream text;
        text << request.base();
        m_lastHeaders = text.str();
    }
    const auto expectedInstance = request[expectInstanceHeader];
    if (!expectedInstance.empty() && std::string_view(expectedInstance.data(), expectedInstance.size()) != m_id) {
        co_return co_await FakeServer::send(socket, FakeServer::jsonResponse(421, "{}"));
    }
    if (request.target() == "/stage-run") {
        co_return co_await handleBatch(socket, request);
    }
    if (request.target() == "/stage-free") {
        releaseResults(request);
        co_return co_await FakeServer::send(socket, FakeServer::jsonResponse(200, "{}"));
    }
    if (hasCrashingPart(request)) {
        co_await simulateWork();
        // A request that runs while another one crashes the target ends with it.
        if (socket.is_open()) {
            Asio::co_spawn(m_server.strand(), crash(), Asio::detached);
        }
        co_return false;
    }
    const Fault fault = consumeFault();
    if (fault == Fault::Refuse) {
        FakeServer::Response refusal = FakeServer::jsonResponse(503, "{}");
        refusal.set(notExecutedHeader, "1");
        co_return co_await FakeServer::send(socket, std::move(refusal));
    }
    {
        const std::scoped_lock lock(m_mutex);
        ++m_executionCounts[std::string(request[attemptIdHeader])];
    }
    if (fault == Fault::EndlessHead) {
        const std::string line = "X-Long: " + std::string(endlessBytes, 'x') + "\r\n";
        co_return co_await sendEndlessly(socket, "HTTP/1.1 200 OK\r\n" + line, line, {});
    }
    if (request.target().find("stream") != std::string::npos) {
        co_return co_await sendStream(socket, request, fault);
    }
    co_return co_await sendResponse(socket, request, fault);
}

void FakeFleetTarget::releaseResults(const FakeServer::Request &request)
{
    const Json::value body = Json::parse(request.body());
    const std::scoped_lock lock(m_mutex);
    for (const Json::value &it : body.at("handle_list").as_array()) {
        m_storedResults.erase(std::string(it.as_string()));
    }
}

Asio::awaitable<bool> FakeFleetTarget::sendEndlessly(FakeServer::Socket &socket, std::string head, std::string repeated,
                                                     std::chrono::milliseconds pause)
{
    Asio::steady_timer timer(m_server.strand());
    while (true) {
        const auto [ec, n] = co_await Asio::async_write(socket, Asio::buffer(head), Asio::as_tuple(Asio::use_awaitable));
        if (ec) {
            co_return false;
        }
        head = repeated;
        timer.expires_after(pause);
        co_await timer.async_wait(Asio::as_tuple(Asio::use_awaitable));
    }
}

Asio::awaitable<bool> FakeFleetTarget::sendResponse(FakeServer::Socket &socket, const FakeServer::Request &request, Fault fault)
{
    co_await simulateWork();
    const std::string body = std::string(request[attemptIdHeader]) + ":" + request.body();
    switch (fault) {
    case Fault::Reset:
        co_return false;
    case Fault::Error:
        co_return co_await FakeServer::send(socket, signedResponse(request, 500, body));
    case Fault::Cut: {
        const std::string text = "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n" + std::string(attemptIdHeader) + ": "
            + std::string(request[attemptIdHeader]) + "\r\n" + signatureHeader + ": s\r\n\r\nhalf";
        co_await Asio::async_write(socket, Asio::buffer(text), Asio::as_tuple(Asio::use_awaitable));
        co_return false;
    }
    case Fault::Unsigned: {
        FakeServer::Response response = signedResponse(request, 200, body);
        response.erase(signatureHeader);
        co_return co_await FakeServer::send(socket, std::move(response));
    }
    case Fault::ForeignRefusal: {
        FakeServer::Response response = signedResponse(request, 503, "{}");
        response.set(attemptIdHeader, "another");
        response.set(notExecutedHeader, "1");
        co_return co_await FakeServer::send(socket, std::move(response));
    }
    case Fault::Endless: {
        const std::string head = "HTTP/1.1 200 OK\r\n" + std::string(attemptIdHeader) + ": " + std::string(request[attemptIdHeader])
            + "\r\n" + signatureHeader + ": s\r\n\r\n";
        co_return co_await sendEndlessly(socket, head, std::string(endlessBytes, 'x'), {});
    }
    case Fault::Foreign: {
        FakeServer::Response response = signedResponse(request, 200, "foreign");
        response.set(attemptIdHeader, "another");
        co_return co_await FakeServer::send(socket, std::move(response));
    }
    default:
        co_return co_await FakeServer::send(socket, signedResponse(request, 200, body));
    }
}

Asio::awaitable<bool> FakeFleetTarget::sendStream(FakeServer::Socket &socket, const FakeServer::Request &request, Fault fault)
{
    const std::string id(request[attemptIdHeader]);
    std::string text = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n" + std::string(attemptIdHeader)
        + ": " + id + "\r\n" + signatureHeader + ": " + m_id + "\r\n\r\n";
    const auto lastEventId = request[lastEventIdHeader];
    const int first = lastEventId.empty() ? 1 : std::stoi(std::string(lastEventId)) + 1;
    for (int it = first; it <= eventsPerStream; ++it) {
        co_await simulateWork();
        if (it == 2 && fault == Fault::Stall) {
            co_return co_await sendEndlessly(socket, "3\r\n:\n\n\r\n", "3\r\n:\n\n\r\n", std::chrono::milliseconds(50));
        }
        if (it == 2 && fault == Fault::Endless) {
            const std::string chunk = "1000\r\n" + std::string(0x1000, 'x') + "\r\n";
            co_return co_await sendEndlessly(socket, chunk, chunk, {});
        }
        const std::string event = "id: " + std::to_string(it) + "\ndata: " + id + " " + std::string(request[inputCountHeader]) + "\n\n";
        const bool truncated = (fault == Fault::Cut || fault == Fault::PartialEnd) && it == 3;
        const std::string sent = truncated ? event.substr(0, event.size() / 2) : event;
        std::ostringstream size;
        size << std::hex << sent.size();
        text += size.str() + "\r\n" + sent + "\r\n";
        const auto [ec, n] = co_await Asio::async_write(socket, Asio::buffer(text), Asio::as_tuple(Asio::use_awaitable));
        if (ec || (truncated && fault == Fault::Cut)) {
            co_return false;
        }
        if (truncated) {
            break;
        }
        text.clear();
    }
    co_await Asio::async_write(socket, Asio::buffer(std::string("0\r\n\r\n")), Asio::as_tuple(Asio::use_awaitable));
    co_return true;
}

Asio::awaitable<bool> FakeFleetTarget::handleBatch(FakeServer::Socket &socket, const FakeServer::Request &request)
{
    const Fault fault = consumeFault();
    if (fault == Fault::Refuse) {
        FakeServer::Response refusal = FakeServer::jsonResponse(503, "{}");
        refusal.set(notExecutedHeader, "1");
        co_return co_await FakeServer::send(socket, std::move(refusal));
    }
    const Json::value body = Json::parse(request.body());
    const Json::array &entries = body.at("entries").as_array();
    co_await simulateWork();
    Json::array resultEntries;
    {
        const std::scoped_lock lock(m_mutex);
        ++m_batchCount;
        m_maxBatchSize = std::max(m_maxBatchSize, entries.size());
        for (std::size_t it = 0; it < entries.size(); ++it) {
            const std::string handle = FakeAddress::text() + ":" + std::to_string(m_port) + "/" + std::to_string(++m_lastResultNumber);
            m_storedResults.insert(handle);
            const std::string owner(entries[it].at("id").as_string());
            m_resultOwners[handle] = owner;
            if (const Json::value *inputs = entries[it].as_object().if_contains("inputs")) {
                m_foreignInputs += static_cast<std::size_t>(std::ranges::count_if(inputs->as_array(), [&](const Json::value &input) {
                    const auto known = m_resultOwners.find(std::string(input.as_string()));
                    return known != m_resultOwners.end() && known->second != owner;
                }));
            }
            Json::object result;
            result["handle"] = handle;
            resultEntries.push_back(std::move(result));
        }
    }
    Json::object reply;
    reply["entries"] = std::move(resultEntries);
    std::string &last = m_lastBatchResponses[socket.remote_endpoint().port()];
    const std::string previous = std::exchange(last, Json::serialize(reply));
    if (fault == Fault::Repeat && !previous.empty()) {
        co_await FakeServer::send(socket, FakeServer::jsonResponse(200, previous));
    }
    co_return co_await FakeServer::send(socket, FakeServer::jsonResponse(200, Json::serialize(reply)));
}

} // namespace Guavalock
