#include "LoadGenerator.h"

#include "Decisions/Hash.h"
#include "FakeAnswers.h"
#include "Flow/JsonText.h"
#include "LoadClient.h"
#include "Net/HttpClient.h"
#include "Targets/SseReader.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

#include <future>

namespace Guavalock
{

namespace Asio = boost::asio;

namespace
{

constexpr std::size_t quoteTopK = 8;
constexpr std::size_t quoteTopN = 3;
constexpr std::size_t quoteTokens = 24;
constexpr std::chrono::milliseconds healthInterval{100};

std::int64_t nowMilliseconds()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

} // namespace

/// Sends the requests of one caller sequentially and verifies the responses.
class LoadGenerator::ClientSession
{
public:
    ClientSession(LoadGenerator &driver, const Asio::any_io_executor &strand, std::size_t number)
        : m_driver(driver)
        , m_client(strand)
        , m_random(driver.m_plan.seed * 1'000'003 + number)
        , m_daemon(number)
    {
    }

    Asio::awaitable<void> sendRequest(std::size_t index)
    {
        std::uniform_real_distribution<double> share(0, 1);
        if (share(m_random) < m_driver.m_plan.bookingShare) {
            co_await sendBooking(index);
        } else {
            co_await sendQuote(index, share(m_random) < m_driver.m_plan.streamShare, share(m_random) < m_driver.m_plan.disconnectShare);
        }
    }

private:
    enum class Outcome {
        Completed,
        Refused,
        None,
    };

    Asio::awaitable<LoadClient::Response> sendWithFailover(LoadClient::Request request)
    {
        // Idempotency keys are scoped to an organisation, so a resent request has to use the same one.
        request.headers.emplace_back("X-Organisation", Hash::of(request.body) % 3 == 0 ? "mill" : "harbour");
        request.headers.emplace_back("X-Deadline-Ms", std::to_string(m_driver.m_plan.deadline.count()));
        LoadClient::Response response;
        for (std::size_t it = 0; it < 2 * m_driver.m_plan.daemons.size(); ++it) {
            m_daemon = m_driver.nextHealthyDaemon(m_daemon);
            LoadClient::Request copy = request;
            response = co_await m_client.send(m_driver.m_plan.daemons[m_daemon], std::move(copy));
            if (response.connected) {
                break;
            }
            ++m_daemon;
        }
        co_return response;
    }

    std::chrono::milliseconds drawDisconnectDelay()
    {
        return std::chrono::milliseconds(
            std::uniform_int_distribution<std::int64_t>(1, m_driver.m_plan.maxDisconnectDelay.count())(m_random));
    }

    Asio::awaitable<void> sendQuote(std::size_t index, bool stream, bool disconnect)
    {
        const std::string input = "request " + std::to_string(m_driver.m_plan.seed) + "/" + std::to_string(index);
        LoadClient::Request request;
        request.path = "/v1/desk/quote";
        request.body = boost::json::serialize(boost::json::value(boost::json::object{{"input", input}}));
        request.stream = stream;
        request.disconnectAfter = disconnect ? drawDisconnectDelay() : std::chrono::milliseconds(0);
        const auto start = std::chrono::steady_clock::now();
        const LoadClient::Response response = co_await sendWithFailover(std::move(request));
        const auto latency = std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::steady_clock::now() - start);
        if (disconnect && !response.complete) {
            const std::scoped_lock lock(m_driver.m_tally.mutex);
            ++m_driver.m_tally.closed;
            co_return;
        }
        const std::string expected = FakeAnswers::pipelineText(input, quoteTopK, quoteTopN, quoteTokens);
        if (verifyResponse(response, input, expected) == Outcome::Completed) {
            const std::scoped_lock lock(m_driver.m_tally.mutex);
            m_driver.m_tally.latencies.push_back(latency);
        }
        ++m_daemon;
    }

    Asio::awaitable<void> sendBooking(std::size_t index)
    {
        const std::string key = "key-" + std::to_string(m_driver.m_plan.seed) + "-" + std::to_string(index);
        const std::string issued = std::to_string(nowMilliseconds());
        const boost::json::object body{{"coils", index}};
        for (std::size_t it = 0; it <= m_driver.m_plan.resends; ++it) {
            LoadClient::Request request;
            request.path = "/v1/desk/book";
            request.body = boost::json::serialize(body);
            request.headers.emplace_back("Idempotency-Key", key);
            request.headers.emplace_back("Idempotency-Issued", issued);
            const LoadClient::Response response = co_await sendWithFailover(std::move(request));
            const boost::json::object result = FakeAnswers::serviceResult(body);
            const std::string receipt(JsonText::text(result, "receipt"));
            const Outcome outcome = verifyResponse(response, key, receipt);
            {
                const std::scoped_lock lock(m_driver.m_tally.mutex);
                m_driver.m_tally.bookings[key] = m_driver.m_tally.bookings[key] || outcome == Outcome::Completed;
                m_driver.m_tally.resent += it > 0 ? 1 : 0;
            }
            if (outcome == Outcome::Completed) {
                co_return;
            }
            ++m_daemon;
        }
    }

    Outcome verifyResponse(const LoadClient::Response &response, const std::string &name, const std::string &expected)
    {
        const std::scoped_lock lock(m_driver.m_tally.mutex);
        LoadStatistics &tally = m_driver.m_tally;
        if (!response.complete) {
            ++tally.cut;
            tally.history[name] += "interrupted ";
            return Outcome::None;
        }
        if (response.contentType == "text/event-stream") {
            return verifyEvents(response, name, expected);
        }
        Reason reason;
        const std::optional<boost::json::object> body = JsonText::object(response.body, ResultCode::MalformedRequest, reason);
        if (!body) {
            tally.violations.push_back(name + ": the response is not JSON");
            return Outcome::None;
        }
        if (response.status != 200) {
            return recordRefusal(*body, name);
        }
        const boost::json::value *result = body->if_contains("result");
        const std::string actual(result != nullptr ? JsonText::text(result->as_object(), "receipt") : JsonText::text(*body, "text"));
        if (actual != expected) {
            tally.violations.push_back(name + ": expected '" + expected + "', got '" + actual + "'");
            return Outcome::None;
        }
        ++tally.answered;
        return Outcome::Completed;
    }

    Outcome verifyEvents(const LoadClient::Response &response, const std::string &name, const std::string &expected)
    {
        LoadStatistics &tally = m_driver.m_tally;
        SseReader reader;
        bool valid = true;
        std::string actual;
        std::size_t tokens = 0;
        boost::json::object last;
        for (const std::string &it : reader.feed(response.body, valid)) {
            Reason reason;
            last = JsonText::object(it, ResultCode::MalformedRequest, reason).value_or(boost::json::object());
            if (last.contains("position")) {
                valid = valid && JsonText::number(last, "position") == tokens++;
                actual += JsonText::text(last, "text");
            }
        }
        if (last.contains("code")) {
            if (!expected.starts_with(actual)) {
                tally.violations.push_back(name + ": stream contains tokens of another response before the refusal");
            }
            return recordRefusal(last, name);
        }
        const bool complete = valid && actual == expected && JsonText::number(last, "tokens") == tokens
            && JsonText::text(last, "checksum") == Hash::hex(Hash::of(actual));
        if (!complete) {
            tally.violations.push_back(name + ": invalid stream: expected '" + expected + "', got '" + actual + "'");
            return Outcome::None;
        }
        ++tally.answered;
        ++tally.streamed;
        return Outcome::Completed;
    }

    Outcome recordRefusal(const boost::json::object &refusal, const std::string &name)
    {
        LoadStatistics &tally = m_driver.m_tally;
        const std::size_t code = JsonText::number(refusal, "code");
        const std::string_view run = JsonText::text(refusal, "run");
        ++tally.refused[static_cast<unsigned>(code)];
        tally.history[name] += boost::json::serialize(refusal) + " ";
        if (run == "no" && !JsonText::text(refusal, "request_id").empty()) {
            tally.notRun.emplace_back(JsonText::text(refusal, "request_id"));
        }
        const bool consistent = code / 100 != 2 || run == "no" || code == 207;
        if (code == 0 || run.empty() || !consistent) {
            tally.violations.push_back(name + ": inconsistent refusal: " + boost::json::serialize(refusal));
        }
        return Outcome::Refused;
    }

    LoadGenerator &m_driver;
    LoadClient m_client;
    std::mt19937_64 m_random;
    std::size_t m_daemon;
};

LoadGenerator::LoadGenerator(Asio::any_io_executor executor, LoadPlan plan)
    : m_executor(std::move(executor))
    , m_plan(std::move(plan))
{
    for (std::size_t it = 0; it < m_plan.daemons.size(); ++it) {
        m_healthy.push_back(std::make_unique<std::atomic<bool>>(true));
    }
}

LoadGenerator::~LoadGenerator() = default;

LoadStatistics &LoadGenerator::tally()
{
    return m_tally;
}

std::size_t LoadGenerator::nextHealthyDaemon(std::size_t from) const
{
    const std::size_t n = m_plan.daemons.size();
    for (std::size_t it = 0; it < n; ++it) {
        if (*m_healthy[(from + it) % n]) {
            return (from + it) % n;
        }
    }
    return from % n;
}

void LoadGenerator::run()
{
    std::vector<std::future<void>> futures;
    m_activeSessions = m_plan.connections;
    std::future<void> health = Asio::co_spawn(Asio::make_strand(m_executor), pollHealth(), Asio::use_future);
    for (std::size_t it = 0; it < m_plan.connections; ++it) {
        futures.push_back(Asio::co_spawn(Asio::make_strand(m_executor), runSession(it), Asio::use_future));
    }
    for (std::future<void> &it : futures) {
        it.get();
    }
    health.get();
}

Asio::awaitable<void> LoadGenerator::runSession(std::size_t number)
{
    const Asio::any_io_executor strand = co_await Asio::this_coro::executor;
    ClientSession session(*this, strand, number);
    for (std::size_t index = m_nextRequest++; index < m_plan.requests; index = m_nextRequest++) {
        co_await session.sendRequest(index);
        const std::scoped_lock lock(m_tally.mutex);
        ++m_tally.sent;
    }
    --m_activeSessions;
}

Asio::awaitable<void> LoadGenerator::pollHealth()
{
    const Asio::any_io_executor strand = co_await Asio::this_coro::executor;
    Asio::steady_timer timer(strand);
    while (m_activeSessions > 0) {
        for (std::size_t it = 0; it < m_plan.daemons.size(); ++it) {
            HttpClient caller(strand, m_plan.daemons[it]);
            HttpClient::Request request;
            request.path = "/health";
            const std::optional<HttpClient::Response> response = co_await caller.call(std::move(request), std::chrono::milliseconds(500));
            *m_healthy[it] = response && response->status == 200;
        }
        timer.expires_after(healthInterval);
        co_await timer.async_wait(Asio::as_tuple(Asio::use_awaitable));
    }
}

} // namespace Guavalock
