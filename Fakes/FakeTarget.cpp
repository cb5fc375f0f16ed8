#include "FakeTarget.h"

#include "FakeAnswers.h"
#include "Flow/JsonText.h"
#include "Targets/LoadHeader.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>

namespace Guavalock
{

namespace Asio = boost::asio;
namespace Http = boost::beast::http;

namespace
{

constexpr std::chrono::milliseconds restartDelay{300};
constexpr std::size_t slowFactor = 10;
constexpr const char *poisonMarker = "POISON";

std::string rerankResponse(const boost::json::object &body)
{
    const std::string query = std::string(JsonText::text(body, "query"));
    std::vector<std::pair<double, std::size_t>> ranks;
    const boost::json::array &documents = body.at("documents").as_array();
    for (std::size_t it = 0; it < documents.size(); ++it) {
        ranks.emplace_back(FakeAnswers::score(query, std::string(documents[it].get_string())), it);
    }
    std::ranges::stable_sort(ranks, std::ranges::greater(), &std::pair<double, std::size_t>::first);
    ranks.resize(std::min(ranks.size(), JsonText::number(body, "top_n", ranks.size())));
    boost::json::array results;
    for (const auto &[score, index] : ranks) {
        results.push_back(boost::json::object{{"index", index}, {"relevance_score", score}});
    }
    return boost::json::serialize(boost::json::object{{"results", std::move(results)}});
}

} // namespace

FakeTarget::FakeTarget(const Asio::any_io_executor &executor, FakeTargetSettings settings)
    : m_strand(Asio::make_strand(executor))
    , m_settings(std::move(settings))
    , m_server(m_strand, static_cast<std::uint16_t>(m_settings.port),
               [this](Socket &socket, Request request) { return handle(socket, std::move(request)); })
    , m_random(m_settings.seed)
{
    beginIncarnation();
}

void FakeTarget::beginIncarnation()
{
    m_incarnation = m_random();
    m_coldCallsLeft = m_settings.coldCalls;
}

void FakeTarget::start()
{
    m_server.listen();
}

void FakeTarget::kill(std::chrono::milliseconds downTime)
{
    Asio::co_spawn(m_strand, crashFor(downTime), Asio::detached);
}

void FakeTarget::turnCold()
{
    Asio::post(m_strand, [this] { m_coldCallsLeft = std::max<std::size_t>(1, m_settings.coldCalls); });
}

Asio::awaitable<void> FakeTarget::crashFor(std::chrono::milliseconds downTime)
{
    if (m_crashed) {
        co_return;
    }
    m_crashed = true;
    {
        const std::scoped_lock lock(m_mutex);
        ++m_counts.deaths;
    }
    m_server.closeAll();
    co_await sleep(downTime);
    beginIncarnation();
    m_crashed = false;
    m_server.listen();
}

FakeTarget::Counts FakeTarget::counts() const
{
    const std::scoped_lock lock(m_mutex);
    return m_counts;
}

LoadReport FakeTarget::report() const
{
    LoadReport report;
    report.incarnation = std::to_string(m_incarnation);
    report.warm = m_coldCallsLeft == 0;
    report.running = std::min(m_running, m_settings.slots);
    report.waiting = m_running - report.running;
    return report;
}

bool FakeTarget::occurs(double probability)
{
    return probability > 0 && std::uniform_real_distribution<double>(0, 1)(m_random) < probability;
}

Asio::awaitable<void> FakeTarget::sleep(std::chrono::milliseconds time)
{
    if (time.count() == 0) {
        co_return;
    }
    Asio::steady_timer timer(m_strand, time);
    co_await timer.async_wait(Asio::as_tuple(Asio::use_awaitable));
}

Asio::awaitable<bool> FakeTarget::handle(Socket &socket, Request request)
{
    if (request.target() == "/load") {
        FakeServer::Response response = FakeServer::jsonResponse(200, "{}");
        response.set(LoadHeader::name, LoadHeader::write(report()));
        co_return co_await FakeServer::send(socket, std::move(response));
    }
    if (request.target().starts_with("/control/")) {
        co_return co_await handleControl(socket, request);
    }
    if (request.body().find(poisonMarker) != std::string::npos) {
        kill(restartDelay);
        co_return false;
    }
    recordCallStart();
    ActiveCall call(*this);
    const bool keepAlive = co_await serveCall(socket, std::move(request), call);
    co_return keepAlive;
}

FakeTarget::ActiveCall::ActiveCall(FakeTarget &target)
    : m_target(target)
{
}

FakeTarget::ActiveCall::~ActiveCall()
{
    end();
}

void FakeTarget::ActiveCall::end()
{
    if (m_ended) {
        return;
    }
    m_ended = true;
    --m_target.m_running;
    m_target.m_coldCallsLeft -= m_target.m_coldCallsLeft > 0 ? 1 : 0;
}

void FakeTarget::recordCallStart()
{
    ++m_running;
    const std::scoped_lock lock(m_mutex);
    ++m_counts.calls;
    m_counts.maxConcurrent = std::max(m_counts.maxConcurrent, m_running);
    if (m_coldCallsLeft > 0 && m_running > m_settings.coldLimit) {
        ++m_counts.coldExceeded;
    }
}

void FakeTarget::recordExecution(const Request &request)
{
    const std::scoped_lock lock(m_mutex);
    m_counts.executedRequestIds.emplace(request["X-Request-Id"]);
    const std::string key(request["Idempotency-Key"]);
    if (!key.empty()) {
        ++m_counts.executionsByKey[key];
    }
}

Asio::awaitable<bool> FakeTarget::handleControl(Socket &socket, const Request &request)
{
    const Counts currentCounts = counts();
    boost::json::object keys;
    for (const auto &[key, runs] : currentCounts.executionsByKey) {
        keys[key] = runs;
    }
    if (request.target() == "/control/kill") {
        kill(restartDelay);
    } else if (request.target() == "/control/cold") {
        turnCold();
    }
    const boost::json::object body{{"calls", currentCounts.calls},
                                   {"completed", currentCounts.completed},
                                   {"cancelled", currentCounts.cancelled},
                                   {"deaths", currentCounts.deaths},
                                   {"cold_exceeded", currentCounts.coldExceeded},
                                   {"most_running", currentCounts.maxConcurrent},
                                   {"runs_by_key", keys}};
    co_return co_await FakeServer::send(socket, FakeServer::jsonResponse(200, boost::json::serialize(body)));
}

Asio::awaitable<bool> FakeTarget::serveCall(Socket &socket, Request request, ActiveCall &call)
{
    const std::string attemptId(request["X-Attempt-Id"]);
    if (occurs(m_settings.faults.reject)) {
        call.end();
        FakeServer::Response response = FakeServer::jsonResponse(503, "{}");
        response.set("X-Attempt-Id", attemptId);
        response.set("X-Run", "no");
        co_return co_await FakeServer::send(socket, std::move(response));
    }
    recordExecution(request);
    co_await sleep(m_settings.callTime * (occurs(m_settings.faults.slow) ? slowFactor : 1));
    if (m_crashed || FakeServer::peerClosed(socket)) {
        const std::scoped_lock lock(m_mutex);
        ++m_counts.cancelled;
        co_return false;
    }
    if (occurs(m_settings.faults.drop)) {
        co_return false;
    }
    if (occurs(m_settings.faults.fail)) {
        call.end();
        FakeServer::Response response = FakeServer::jsonResponse(500, "{}");
        response.set("X-Attempt-Id", attemptId);
        response.set("X-Run", "yes");
        co_return co_await FakeServer::send(socket, std::move(response));
    }
    boost::json::object body = boost::json::parse(request.body()).as_object();
    if (m_settings.kind == "generate") {
        co_return co_await sendStream(socket, attemptId, std::move(body), call);
    }
    CallResponse callResponse{attemptId, responseBody(body)};
    co_return co_await sendResponse(socket, std::move(callResponse), call);
}

std::string FakeTarget::responseBody(const boost::json::object &body) const
{
    if (m_settings.kind == "embed") {
        const boost::json::object item{{"embedding", FakeAnswers::embedding(std::string(JsonText::text(body, "input")))}, {"index", 0}};
        return boost::json::serialize(boost::json::object{{"data", boost::json::array{item}}});
    }
    if (m_settings.kind == "rerank") {
        return rerankResponse(body);
    }
    if (m_settings.kind == "retrieve") {
        const boost::json::array documents
            = FakeAnswers::documents(std::string(JsonText::text(body, "query")), JsonText::number(body, "top_k", 1));
        return boost::json::serialize(boost::json::object{{"documents", documents}});
    }
    return boost::json::serialize(FakeAnswers::serviceResult(body));
}

Asio::awaitable<bool> FakeTarget::sendResponse(Socket &socket, CallResponse callResponse, ActiveCall &call)
{
    call.end();
    CallResponse sent = callResponse;
    if (occurs(m_settings.faults.cross) && !m_lastResponse.attemptId.empty()) {
        sent = m_lastResponse;
    }
    m_lastResponse = std::move(callResponse);
    FakeServer::Response response = FakeServer::jsonResponse(200, sent.body);
    response.set("X-Attempt-Id", sent.attemptId);
    response.set(LoadHeader::name, LoadHeader::write(report()));
    if (occurs(m_settings.faults.truncate)) {
        response.prepare_payload();
        const std::string head = "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + sent.attemptId
            + "\r\nContent-Length: " + std::to_string(sent.body.size()) + "\r\n\r\n" + sent.body.substr(0, sent.body.size() / 2);
        co_await Asio::async_write(socket, Asio::buffer(head), Asio::as_tuple(Asio::use_awaitable));
        co_return false;
    }
    const bool duplicated = occurs(m_settings.faults.duplicate);
    bool good = co_await FakeServer::send(socket, response);
    if (good && duplicated) {
        good = co_await FakeServer::send(socket, response);
    }
    const std::scoped_lock lock(m_mutex);
    ++m_counts.completed;
    co_return good;
}

std::string FakeTarget::event(const std::string &attemptId, const std::string &prompt, std::size_t position) const
{
    const boost::json::object choice{{"index", 0}, {"text", FakeAnswers::token(prompt, position)}};
    const boost::json::object data{{"id", attemptId}, {"position", position}, {"choices", boost::json::array{choice}}};
    return "data: " + boost::json::serialize(data) + "\n\n";
}

Asio::awaitable<bool> FakeTarget::sendStream(Socket &socket, const std::string &attemptId, boost::json::object body, ActiveCall &call)
{
    const std::string prompt = std::string(JsonText::text(body, "prompt"));
    const std::size_t total = FakeAnswers::tokenCount(prompt, JsonText::number(body, "max_tokens", 1));
    const boost::json::value *resume = body.if_contains("resume");
    const std::size_t firstPosition = resume != nullptr ? JsonText::number(resume->as_object(), "position", 0) : 0;
    const std::string otherId = std::exchange(m_lastStreamId, attemptId);
    const bool crossed = occurs(m_settings.faults.swapEvent) && !otherId.empty();
    const bool truncated = occurs(m_settings.faults.truncate);
    const bool duplicated = occurs(m_settings.faults.duplicate);

    std::string head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nX-Attempt-Id: " + attemptId
        + "\r\n" + LoadHeader::name + ": " + LoadHeader::write(report()) + "\r\n\r\n";
    co_await Asio::async_write(socket, Asio::buffer(head), Asio::as_tuple(Asio::use_awaitable));
    std::string pending;
    const std::size_t middle = firstPosition + (total - firstPosition) / 2;
    for (std::size_t it = firstPosition; it < total; ++it) {
        if (it == middle && truncated) {
            co_return false;
        }
        pending += event(crossed && it == middle ? otherId : attemptId, prompt, it);
        if (duplicated) {
            pending += event(attemptId, prompt, it);
        }
        const bool paced = m_settings.tokenTime.count() > 0;
        if (paced || it + 1 == total) {
            const auto [ec, n]
                = co_await Asio::async_write(socket, Http::make_chunk(Asio::buffer(pending)), Asio::as_tuple(Asio::use_awaitable));
            if (ec) {
                const std::scoped_lock lock(m_mutex);
                ++m_counts.cancelled;
                co_return false;
            }
            pending.clear();
            co_await sleep(m_settings.tokenTime);
        }
    }
    call.end();
    const boost::json::object usage{{"prompt_tokens", prompt.size() / 4}, {"total_position", total}};
    const std::string end
        = "data: " + boost::json::serialize(boost::json::object{{"id", attemptId}, {"usage", usage}}) + "\n\ndata: [DONE]\n\n";
    co_await Asio::async_write(socket, Http::make_chunk(Asio::buffer(end)), Asio::as_tuple(Asio::use_awaitable));
    const auto [ec, n] = co_await Asio::async_write(socket, Http::make_chunk_last(), Asio::as_tuple(Asio::use_awaitable));
    const std::scoped_lock lock(m_mutex);
    ++m_counts.completed;
    co_return !ec;
}

} // namespace Guavalock
