#include "FakeFleetTarget.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <sstream>

namespace Guavalock
{

namespace Asio = boost::asio;
namespace Http = boost::beast::http;
namespace Json = boost::json;

namespace
{

constexpr const char *attemptId = "X-Guavalock-Attempt-Id";
constexpr const char *signature = "X-Guavalock-Server-Signature";
constexpr const char *expected = "X-Guavalock-Expect-Instance";
constexpr const char *notRun = "X-Guavalock-Not-Executed";
constexpr const char *lastEvent = "Last-Event-Id";
constexpr const char *inputs = "X-Guavalock-Input-Count";
constexpr int events = 5; ///< Of each stream.

} // namespace

FakeFleetTarget::FakeFleetTarget(const Asio::any_io_executor &strand, std::uint16_t port, std::string id)
    : m_server(strand, port, [this](FakeServer::Socket &socket, FakeServer::Request request) { return handle(socket, std::move(request)); })
    , m_port(port)
    , m_id(std::move(id))
{
}

void FakeFleetTarget::start()
{
    Asio::post(m_server.strand(), [this] { m_server.open(); });
}

void FakeFleetTarget::setFault(Fault fault, std::size_t requests)
{
    const std::scoped_lock lock(m_mutex);
    m_fault = fault;
    m_faults = requests;
}

void FakeFleetTarget::setWork(std::chrono::milliseconds work)
{
    const std::scoped_lock lock(m_mutex);
    m_work = work;
}

std::map<std::string, std::size_t> FakeFleetTarget::runs() const
{
    const std::scoped_lock lock(m_mutex);
    return m_runs;
}

std::size_t FakeFleetTarget::largestBatch() const
{
    const std::scoped_lock lock(m_mutex);
    return m_largestBatch;
}

std::size_t FakeFleetTarget::batches() const
{
    const std::scoped_lock lock(m_mutex);
    return m_batches;
}

std::size_t FakeFleetTarget::results() const
{
    const std::scoped_lock lock(m_mutex);
    return m_results.size();
}

std::size_t FakeFleetTarget::arrivals() const
{
    const std::scoped_lock lock(m_mutex);
    return m_arrivals;
}

std::size_t FakeFleetTarget::connections() const
{
    return m_server.connections();
}

std::string FakeFleetTarget::lastHeaders() const
{
    const std::scoped_lock lock(m_mutex);
    return m_lastHeaders;
}

FakeFleetTarget::Fault FakeFleetTarget::takeFault()
{
    const std::scoped_lock lock(m_mutex);
    if (m_faults == 0) {
        return Fault::None;
    }
    --m_faults;
    return m_fault;
}

Asio::awaitable<void> FakeFleetTarget::work()
{
    std::chrono::milliseconds work{0};
    {
        const std::scoped_lock lock(m_mutex);
        work = m_work;
    }
    Asio::steady_timer timer(m_server.strand(), work);
    co_await timer.async_wait(Asio::as_tuple(Asio::use_awaitable));
}

FakeServer::Response FakeFleetTarget::signedAnswer(const FakeServer::Request &request, unsigned status, std::string body) const
{
    FakeServer::Response response = FakeServer::json(status, std::move(body));
    response.set(attemptId, request[attemptId]);
    response.set(signature, m_id + ".1");
    return response;
}

Asio::awaitable<bool> FakeFleetTarget::handle(FakeServer::Socket &socket, FakeServer::Request request)
{
    {
        const std::scoped_lock lock(m_mutex);
        ++m_arrivals;
        std::ostringstream text;
        text << request.base();
        m_lastHeaders = text.str();
    }
    const auto wanted = request[expected];
    if (!wanted.empty() && std::string_view(wanted.data(), wanted.size()) != m_id) {
        co_return co_await FakeServer::send(socket, FakeServer::json(421, "{}"));
    }
    if (request.target() == "/stage-run") {
        co_return co_await batch(socket, request);
    }
    if (request.target() == "/stage-free") {
        free(request);
        co_return co_await FakeServer::send(socket, FakeServer::json(200, "{}"));
    }
    const Fault fault = takeFault();
    if (fault == Fault::Refuse) {
        FakeServer::Response refusal = FakeServer::json(503, "{}");
        refusal.set(notRun, "1");
        co_return co_await FakeServer::send(socket, std::move(refusal));
    }
    {
        const std::scoped_lock lock(m_mutex);
        ++m_runs[std::string(request[attemptId])];
    }
    if (request.target().find("stream") != std::string::npos) {
        co_return co_await stream(socket, request, fault);
    }
    co_return co_await answer(socket, request, fault);
}

void FakeFleetTarget::free(const FakeServer::Request &request)
{
    const Json::value body = Json::parse(request.body());
    const std::scoped_lock lock(m_mutex);
    for (const Json::value &it : body.at("handle_list").as_array()) {
        m_results.erase(std::string(it.as_string()));
    }
}

Asio::awaitable<bool> FakeFleetTarget::answer(FakeServer::Socket &socket, const FakeServer::Request &request, Fault fault)
{
    co_await work();
    const std::string body = std::string(request[attemptId]) + ":" + request.body();
    switch (fault) {
    case Fault::Reset:
        co_return false;
    case Fault::Error:
        co_return co_await FakeServer::send(socket, signedAnswer(request, 500, body));
    case Fault::Cut: {
        const std::string text = "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n" + std::string(attemptId) + ": "
            + std::string(request[attemptId]) + "\r\n" + signature + ": s\r\n\r\nhalf";
        co_await Asio::async_write(socket, Asio::buffer(text), Asio::as_tuple(Asio::use_awaitable));
        co_return false;
    }
    case Fault::Unsigned: {
        FakeServer::Response response = signedAnswer(request, 200, body);
        response.erase(signature);
        co_return co_await FakeServer::send(socket, std::move(response));
    }
    case Fault::Foreign: {
        FakeServer::Response response = signedAnswer(request, 200, "foreign");
        response.set(attemptId, "another");
        co_return co_await FakeServer::send(socket, std::move(response));
    }
    default:
        co_return co_await FakeServer::send(socket, signedAnswer(request, 200, body));
    }
}

Asio::awaitable<bool> FakeFleetTarget::stream(FakeServer::Socket &socket, const FakeServer::Request &request, Fault fault)
{
    const std::string id(request[attemptId]);
    std::string text = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n" + std::string(attemptId)
        + ": " + id + "\r\n" + signature + ": " + m_id + "\r\n\r\n";
    const auto from = request[lastEvent];
    const int first = from.empty() ? 1 : std::stoi(std::string(from)) + 1;
    for (int it = first; it <= events; ++it) {
        co_await work();
        const std::string event = "id: " + std::to_string(it) + "\ndata: " + id + " " + std::string(request[inputs]) + "\n\n";
        const bool cut = fault == Fault::Cut && it == 3;
        const std::string sent = cut ? event.substr(0, event.size() / 2) : event;
        std::ostringstream size;
        size << std::hex << sent.size();
        text += size.str() + "\r\n" + sent + "\r\n";
        const auto [ec, n] = co_await Asio::async_write(socket, Asio::buffer(text), Asio::as_tuple(Asio::use_awaitable));
        if (ec || cut) {
            co_return false;
        }
        text.clear();
    }
    co_await Asio::async_write(socket, Asio::buffer(std::string("0\r\n\r\n")), Asio::as_tuple(Asio::use_awaitable));
    co_return true;
}

Asio::awaitable<bool> FakeFleetTarget::batch(FakeServer::Socket &socket, const FakeServer::Request &request)
{
    if (takeFault() == Fault::Refuse) {
        FakeServer::Response refusal = FakeServer::json(503, "{}");
        refusal.set(notRun, "1");
        co_return co_await FakeServer::send(socket, std::move(refusal));
    }
    const Json::value body = Json::parse(request.body());
    const Json::array &pieces = body.at("entries").as_array();
    co_await work();
    Json::array made;
    {
        const std::scoped_lock lock(m_mutex);
        ++m_batches;
        m_largestBatch = std::max(m_largestBatch, pieces.size());
        for (std::size_t it = 0; it < pieces.size(); ++it) {
            const std::string handle = "127.0.0.1:" + std::to_string(m_port) + "/" + std::to_string(++m_lastResult);
            m_results.insert(handle);
            Json::object result;
            result["handle"] = handle;
            made.push_back(std::move(result));
        }
    }
    Json::object reply;
    reply["entries"] = std::move(made);
    FakeServer::Response response = FakeServer::json(200, Json::serialize(reply));
    co_return co_await FakeServer::send(socket, std::move(response));
}

} // namespace Guavalock
