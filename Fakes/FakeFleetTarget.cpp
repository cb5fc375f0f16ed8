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
constexpr const char *leavingHeader = "Server-Leaving";
constexpr const char *limitHeader = "Server-Limit";
constexpr int eventsPerStream = 5;
constexpr const char *chunkedHeader = "Transfer-Encoding: chunked\r\n";
constexpr std::size_t endlessBlock = 4'096; ///< Written at a time by endless responses.

/// A complete response that a fault sends in place of the regular one.
struct Replacement {
    unsigned status;
    const char *body;
};

const std::map<FakeFleetTarget::Fault, Replacement> &replacements()
{
    using Fault = FakeFleetTarget::Fault;
    static const std::map<Fault, Replacement> table{{Fault::ErrorInstead, {500, "the engine failed\n\n"}},
                                                    {Fault::RejectionInstead, {400, "the engine rejects this\n\n"}},
                                                    {Fault::DocumentInstead, {200, "{\"document\":1}\n\n"}},
                                                    {Fault::EmptyInstead, {200, ""}},
                                                    {Fault::NoContentInstead, {204, ""}},
                                                    {Fault::TimeoutInstead, {408, "the engine failed\n\n"}},
                                                    {Fault::TooManyInstead, {429, "the engine failed\n\n"}},
                                                    {Fault::UnavailableInstead, {503, "the engine failed\n\n"}}};
    return table;
}

std::string repeat(const std::string &text, std::size_t count)
{
    std::string all;
    for (std::size_t it = 0; it < count; ++it) {
        all += text;
    }
    return all;
}

/// Returns the port of a connection's peer, or 0 if the peer has disconnected.
std::uint16_t peerPort(const FakeServer::Socket &socket)
{
    boost::system::error_code ec;
    const auto peer = socket.remote_endpoint(ec);
    return ec ? std::uint16_t(0) : peer.port();
}

std::string chunk(const std::string &data)
{
    std::ostringstream text;
    text << std::hex << data.size() << "\r\n" << data << "\r\n";
    return text.str();
}

/// A response without end.
struct EndlessForm {
    bool followsHead; ///< Sent after a complete head of a chunked response.
    std::string begin;
    std::string repeated;
};

const std::map<FakeFleetTarget::Fault, EndlessForm> &endlessForms()
{
    using Fault = FakeFleetTarget::Fault;
    static const std::string block(endlessBlock, 'x');
    static const std::string header = "X-Long: " + block + "\r\n";
    static const std::string interim = "HTTP/1.1 103 Early Hints\r\n\r\n";
    static const std::map<Fault, EndlessForm> table{{Fault::EndlessHead, {false, "HTTP/1.1 200 OK\r\n", header}},
                                                    {Fault::EndlessStatusLine, {false, "HTTP/1.1 200 ", block}},
                                                    {Fault::EndlessInterim, {false, interim, interim}},
                                                    {Fault::EndlessChunkHeader, {true, "1;", block}},
                                                    {Fault::EndlessTrailer, {true, "0\r\n", header}},
                                                    {Fault::EndlessChunks, {true, "", chunk(block)}},
                                                    {Fault::EndlessByteChunks, {true, "", repeat(chunk("x"), endlessBlock)}}};
    return table;
}

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
    m_faults.assign(requests, fault);
}

void FakeFleetTarget::setFaults(std::vector<Fault> faults)
{
    const std::scoped_lock lock(m_mutex);
    m_faults.assign(faults.begin(), faults.end());
}

void FakeFleetTarget::setFreeFaults(std::vector<Fault> faults)
{
    const std::scoped_lock lock(m_mutex);
    m_freeFaults.assign(faults.begin(), faults.end());
}

void FakeFleetTarget::setHeadLength(std::size_t bytes)
{
    const std::scoped_lock lock(m_mutex);
    m_headLength = bytes;
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

void FakeFleetTarget::setLeaving(bool leaving)
{
    const std::scoped_lock lock(m_mutex);
    m_leaving = leaving;
}

void FakeFleetTarget::setLimit(std::string requestsPerSecond)
{
    const std::scoped_lock lock(m_mutex);
    m_limit = std::move(requestsPerSecond);
}

void FakeFleetTarget::setPause(std::chrono::milliseconds pause)
{
    const std::scoped_lock lock(m_mutex);
    m_pause = pause;
}

FakeServer::Response FakeFleetTarget::withStatement(FakeServer::Response response) const
{
    const std::scoped_lock lock(m_mutex);
    if (m_leaving) {
        response.set(leavingHeader, "1");
    }
    if (!m_limit.empty()) {
        response.set(limitHeader, m_limit);
    }
    return response;
}

Asio::awaitable<bool> FakeFleetTarget::refuseForPause(FakeServer::Socket &socket, const FakeServer::Request &request,
                                                      std::chrono::milliseconds pause) const
{
    FakeServer::Response refusal = withStatement(FakeServer::jsonResponse(503, "{}"));
    refusal.set(attemptIdHeader, request[attemptIdHeader]);
    refusal.set(notExecutedHeader, "1");
    refusal.set("Retry-After", std::to_string(std::chrono::duration<double>(pause).count()));
    co_return co_await FakeServer::send(socket, std::move(refusal));
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
    return m_arrivalTimes.size();
}

std::vector<std::chrono::steady_clock::time_point> FakeFleetTarget::arrivalTimes() const
{
    const std::scoped_lock lock(m_mutex);
    return m_arrivalTimes;
}

std::size_t FakeFleetTarget::connections() const
{
    return m_server.connectionCount();
}

std::size_t FakeFleetTarget::endlessBytes() const
{
    const std::scoped_lock lock(m_mutex);
    return m_endlessBytes;
}

std::chrono::steady_clock::duration FakeFleetTarget::endlessDuration() const
{
    const std::scoped_lock lock(m_mutex);
    return m_endlessDuration;
}

std::string FakeFleetTarget::lastHeaders() const
{
    const std::scoped_lock lock(m_mutex);
    return m_lastHeaders;
}

FakeFleetTarget::Fault FakeFleetTarget::consumeFault(std::deque<Fault> &faults)
{
    const std::scoped_lock lock(m_mutex);
    if (faults.empty()) {
        return Fault::None;
    }
    const Fault fault = faults.front();
    faults.pop_front();
    return fault;
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
    return withStatement(std::move(response));
}

Asio::awaitable<bool> FakeFleetTarget::handle(FakeServer::Socket &socket, FakeServer::Request request)
{
    std::chrono::milliseconds pause{0};
    {
        const std::scoped_lock lock(m_mutex);
        pause = m_pause;
        m_arrivalTimes.push_back(std::chrono::steady_clock::now());
        std::ostringstream text;
        text << request.base();
        m_lastHeaders = text.str();
    }
    const auto expectedInstance = request[expectInstanceHeader];
    if (!expectedInstance.empty() && std::string_view(expectedInstance.data(), expectedInstance.size()) != m_id) {
        co_return co_await FakeServer::send(socket, FakeServer::jsonResponse(421, "{}"));
    }
    if (pause > std::chrono::milliseconds(0)) {
        co_return co_await refuseForPause(socket, request, pause);
    }
    if (request.target() == "/stage-run") {
        co_return co_await handleBatch(socket, request);
    }
    if (request.target() == "/stage-free") {
        co_return co_await handleFree(socket, request);
    }
    if (hasCrashingPart(request)) {
        co_await simulateWork();
        // A request that runs while another one crashes the target ends with it.
        if (socket.is_open()) {
            Asio::co_spawn(m_server.strand(), crash(), Asio::detached);
        }
        co_return false;
    }
    if (request.method() == Http::verb::head) {
        const std::string head = responseHead(request, "Content-Length: 100\r\n");
        const auto [ec, n] = co_await Asio::async_write(socket, Asio::buffer(head), Asio::as_tuple(Asio::use_awaitable));
        co_return !ec;
    }
    const Fault fault = consumeFault(m_faults);
    if (fault == Fault::Refuse || fault == Fault::RefuseById) {
        co_return co_await refuse(socket, request, fault);
    }
    if (fault == Fault::RepeatAtOnce) {
        co_await repeatLastResponse(socket);
    }
    {
        const std::scoped_lock lock(m_mutex);
        ++m_executionCounts[std::string(request[attemptIdHeader])];
    }
    if (endlessForms().contains(fault)) {
        co_return co_await sendEndlessForm(socket, request, fault);
    }
    if (replacements().contains(fault)) {
        co_return co_await sendInstead(socket, request, fault);
    }
    if (fault == Fault::CutHead) {
        co_return co_await sendTruncatedHead(socket, request);
    }
    if (fault >= Fault::UntilClose && fault <= Fault::UntilCloseReset) {
        co_return co_await sendUntilClose(socket, request, fault);
    }
    if (request.target().find("stream") != std::string::npos) {
        co_return co_await sendStream(socket, request, fault);
    }
    co_return co_await sendResponse(socket, request, fault);
}

Asio::awaitable<bool> FakeFleetTarget::refuse(FakeServer::Socket &socket, const FakeServer::Request &request, Fault fault)
{
    FakeServer::Response refusal = withStatement(FakeServer::jsonResponse(503, "{}"));
    refusal.set(notExecutedHeader, "1");
    if (fault == Fault::RefuseById) {
        refusal.set(attemptIdHeader, request[attemptIdHeader]);
    }
    m_lastResponses[peerPort(socket)] = refusal;
    co_return co_await FakeServer::send(socket, std::move(refusal));
}

Asio::awaitable<void> FakeFleetTarget::repeatLastResponse(FakeServer::Socket &socket)
{
    const auto it = m_lastResponses.find(peerPort(socket));
    if (it != m_lastResponses.end()) {
        co_await FakeServer::send(socket, it->second);
    }
}

Asio::awaitable<bool> FakeFleetTarget::sendInstead(FakeServer::Socket &socket, const FakeServer::Request &request, Fault fault)
{
    co_await simulateWork();
    const Replacement &replacement = replacements().at(fault);
    co_return co_await FakeServer::send(socket, signedResponse(request, replacement.status, replacement.body));
}

std::string FakeFleetTarget::responseHead(const FakeServer::Request &request, const std::string &framing) const
{
    std::string statement;
    {
        const std::scoped_lock lock(m_mutex);
        statement = m_leaving ? std::string(leavingHeader) + ": 1\r\n" : "";
        if (!m_limit.empty()) {
            statement += std::string(limitHeader) + ": " + m_limit + "\r\n";
        }
    }
    return "HTTP/1.1 200 OK\r\n" + framing + statement + std::string(attemptIdHeader) + ": " + std::string(request[attemptIdHeader])
        + "\r\n" + signatureHeader + ": " + m_id + "\r\n\r\n";
}

std::string FakeFleetTarget::eventText(const FakeServer::Request &request, int number) const
{
    return "id: " + std::to_string(number) + "\ndata: " + std::string(request[attemptIdHeader]) + " "
        + std::string(request[inputCountHeader]) + "\n\n";
}

Asio::awaitable<bool> FakeFleetTarget::sendTruncatedHead(FakeServer::Socket &socket, const FakeServer::Request &request)
{
    std::string head = responseHead(request, "Content-Length: 12\r\n");
    {
        const std::scoped_lock lock(m_mutex);
        head.resize(std::min(m_headLength, head.size() - 1));
    }
    co_await Asio::async_write(socket, Asio::buffer(head), Asio::as_tuple(Asio::use_awaitable));
    co_return false;
}

Asio::awaitable<bool> FakeFleetTarget::sendUntilClose(FakeServer::Socket &socket, const FakeServer::Request &request, Fault fault)
{
    const bool isStream = request.target().find("stream") != std::string::npos;
    std::string body = std::string(request[attemptIdHeader]) + ":" + request.body();
    if (isStream) {
        body.clear();
        const auto lastEventId = request[lastEventIdHeader];
        for (int it = lastEventId.empty() ? 1 : std::stoi(std::string(lastEventId)) + 1; it <= eventsPerStream; ++it) {
            body += eventText(request, it);
        }
    }
    if (fault == Fault::UntilCloseEmpty) {
        body.clear();
    }
    if (fault == Fault::UntilClosePartial || fault == Fault::UntilCloseReset) {
        body.resize(body.size() / 2);
    }
    const std::string text = responseHead(request, isStream ? "Content-Type: text/event-stream\r\n" : "") + body;
    co_await Asio::async_write(socket, Asio::buffer(text), Asio::as_tuple(Asio::use_awaitable));
    if (fault == Fault::UntilCloseReset) {
        // Lets the caller read what was sent, which a reset would discard.
        co_await simulateWork();
        boost::system::error_code ignored;
        socket.set_option(Asio::socket_base::linger(true, 0), ignored);
    }
    co_return false;
}

Asio::awaitable<bool> FakeFleetTarget::handleFree(FakeServer::Socket &socket, const FakeServer::Request &request)
{
    const Fault fault = consumeFault(m_freeFaults);
    if (endlessForms().contains(fault)) {
        co_return co_await sendEndlessForm(socket, request, fault);
    }
    if (fault == Fault::Refuse) {
        co_return co_await refuse(socket, request, fault);
    }
    if (fault == Fault::RepeatAtOnce) {
        co_await repeatLastResponse(socket);
    }
    releaseResults(request);
    co_return co_await FakeServer::send(socket, withStatement(FakeServer::jsonResponse(200, "{}")));
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
    const auto begin = std::chrono::steady_clock::now();
    while (true) {
        const auto [ec, n] = co_await Asio::async_write(socket, Asio::buffer(head), Asio::as_tuple(Asio::use_awaitable));
        {
            const std::scoped_lock lock(m_mutex);
            m_endlessBytes += n;
            m_endlessDuration = std::max(m_endlessDuration, std::chrono::steady_clock::now() - begin);
        }
        if (ec) {
            co_return false;
        }
        head = repeated;
        timer.expires_after(pause);
        co_await timer.async_wait(Asio::as_tuple(Asio::use_awaitable));
    }
}

Asio::awaitable<bool> FakeFleetTarget::sendEndlessForm(FakeServer::Socket &socket, const FakeServer::Request &request, Fault fault)
{
    const EndlessForm &form = endlessForms().at(fault);
    std::string begin;
    if (form.followsHead) {
        const bool isStream = request.target().find("stream") != std::string::npos;
        begin = responseHead(request, std::string(isStream ? "Content-Type: text/event-stream\r\n" : "") + chunkedHeader)
            + (isStream ? chunk(eventText(request, 1)) : "");
    }
    co_return co_await sendEndlessly(socket, begin + form.begin, form.repeated, {});
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
        const std::string text = responseHead(request, "Content-Length: 100\r\n") + "half";
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
    case Fault::AnonymousRefusal: {
        FakeServer::Response response = FakeServer::jsonResponse(503, "{}");
        response.set(notExecutedHeader, "1");
        co_return co_await FakeServer::send(socket, std::move(response));
    }
    case Fault::Endless: {
        co_return co_await sendEndlessly(socket, responseHead(request, ""), std::string(endlessBlock, 'x'), {});
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
    std::string text = responseHead(request, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n");
    const auto lastEventId = request[lastEventIdHeader];
    const int first = lastEventId.empty() ? 1 : std::stoi(std::string(lastEventId)) + 1;
    for (int it = first; it <= eventsPerStream; ++it) {
        co_await simulateWork();
        if (fault == Fault::Reset) {
            co_return false;
        }
        if (it == 2 && fault == Fault::Stall) {
            co_return co_await sendEndlessly(socket, chunk(":\n\n"), chunk(":\n\n"), std::chrono::milliseconds(50));
        }
        if (it == 2 && fault == Fault::Endless) {
            const std::string data = chunk(std::string(endlessBlock, 'x'));
            co_return co_await sendEndlessly(socket, data, data, {});
        }
        const std::string event = eventText(request, it);
        const bool truncated = (fault == Fault::Cut || fault == Fault::PartialEnd) && it == 3;
        text += chunk(truncated ? event.substr(0, event.size() / 2) : event);
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
    const Fault fault = consumeFault(m_faults);
    if (endlessForms().contains(fault)) {
        co_return co_await sendEndlessForm(socket, request, fault);
    }
    if (fault == Fault::Refuse) {
        co_return co_await refuse(socket, request, fault);
    }
    if (fault == Fault::RepeatAtOnce) {
        co_await repeatLastResponse(socket);
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
            if (fault == Fault::FailPieces) {
                resultEntries.push_back(Json::object{{"reason", "error"}});
                continue;
            }
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
    if (fault == Fault::Repeat) {
        co_await repeatLastResponse(socket);
    }
    const FakeServer::Response response = withStatement(FakeServer::jsonResponse(200, Json::serialize(reply)));
    m_lastResponses[peerPort(socket)] = response;
    co_return co_await FakeServer::send(socket, response);
}

} // namespace Guavalock
