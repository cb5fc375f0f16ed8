#include "LoadDriver.h"

#include "Decisions/Hash.h"
#include "FakeAnswers.h"
#include "Flow/JsonText.h"
#include "LoadCaller.h"
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

/// One caller: sends its requests one after another and checks what it gets.
class LoadDriver::Caller
{
public:
    Caller(LoadDriver &driver, const Asio::any_io_executor &strand, std::size_t number)
        : m_driver(driver)
        , m_caller(strand)
        , m_random(driver.m_plan.seed * 1'000'003 + number)
        , m_daemon(number)
    {
    }

    Asio::awaitable<void> sendOne(std::size_t index)
    {
        std::uniform_real_distribution<double> share(0, 1);
        if (share(m_random) < m_driver.m_plan.bookingShare) {
            co_await book(index);
        } else {
            co_await quote(index, share(m_random) < m_driver.m_plan.streamShare, share(m_random) < m_driver.m_plan.closeShare);
        }
    }

private:
    enum class Outcome {
        Answered,
        Refused,
        None,
    };

    Asio::awaitable<LoadCaller::Answer> exchange(LoadCaller::Request request)
    {
        // Keys belong to an organisation, so a request that is sent again comes from the same one.
        request.headers.emplace_back("X-Organisation", Hash::of(request.body) % 3 == 0 ? "mill" : "harbour");
        request.headers.emplace_back("X-Deadline-Ms", std::to_string(m_driver.m_plan.deadline.count()));
        LoadCaller::Answer answer;
        for (std::size_t it = 0; it < 2 * m_driver.m_plan.daemons.size(); ++it) {
            m_daemon = m_driver.nextDaemon(m_daemon);
            LoadCaller::Request copy = request;
            answer = co_await m_caller.send(m_driver.m_plan.daemons[m_daemon], std::move(copy));
            if (answer.connected) {
                break;
            }
            ++m_daemon;
        }
        co_return answer;
    }

    std::chrono::milliseconds stay()
    {
        return std::chrono::milliseconds(std::uniform_int_distribution<std::int64_t>(1, m_driver.m_plan.closeWithin.count())(m_random));
    }

    Asio::awaitable<void> quote(std::size_t index, bool stream, bool goAway)
    {
        const std::string input = "request " + std::to_string(m_driver.m_plan.seed) + "/" + std::to_string(index);
        LoadCaller::Request request;
        request.path = "/v1/desk/quote";
        request.body = boost::json::serialize(boost::json::value(boost::json::object{{"input", input}}));
        request.stream = stream;
        request.closeAfter = goAway ? stay() : std::chrono::milliseconds(0);
        const auto start = std::chrono::steady_clock::now();
        const LoadCaller::Answer answer = co_await exchange(std::move(request));
        const auto took = std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::steady_clock::now() - start);
        if (goAway && !answer.whole) {
            const std::scoped_lock lock(m_driver.m_tally.mutex);
            ++m_driver.m_tally.closed;
            co_return;
        }
        const std::string expected = FakeAnswers::pipelineText(input, quoteTopK, quoteTopN, quoteTokens);
        if (check(answer, input, expected) == Outcome::Answered) {
            const std::scoped_lock lock(m_driver.m_tally.mutex);
            m_driver.m_tally.latencies.push_back(took);
        }
        ++m_daemon;
    }

    Asio::awaitable<void> book(std::size_t index)
    {
        const std::string key = "key-" + std::to_string(m_driver.m_plan.seed) + "-" + std::to_string(index);
        const std::string issued = std::to_string(nowMilliseconds());
        const boost::json::object body{{"coils", index}};
        for (std::size_t it = 0; it <= m_driver.m_plan.resends; ++it) {
            LoadCaller::Request request;
            request.path = "/v1/desk/book";
            request.body = boost::json::serialize(body);
            request.headers.emplace_back("Idempotency-Key", key);
            request.headers.emplace_back("Idempotency-Issued", issued);
            const LoadCaller::Answer answer = co_await exchange(std::move(request));
            const boost::json::object result = FakeAnswers::serviceResult(body);
            const std::string receipt(JsonText::text(result, "receipt"));
            const Outcome outcome = check(answer, key, receipt);
            {
                const std::scoped_lock lock(m_driver.m_tally.mutex);
                m_driver.m_tally.bookings[key] = m_driver.m_tally.bookings[key] || outcome == Outcome::Answered;
                m_driver.m_tally.resent += it > 0 ? 1 : 0;
            }
            if (outcome == Outcome::Answered) {
                co_return;
            }
            ++m_daemon;
        }
    }

    Outcome check(const LoadCaller::Answer &answer, const std::string &name, const std::string &expected)
    {
        const std::scoped_lock lock(m_driver.m_tally.mutex);
        LoadTally &tally = m_driver.m_tally;
        if (!answer.whole) {
            ++tally.cut;
            tally.history[name] += "cut ";
            return Outcome::None;
        }
        if (answer.contentType == "text/event-stream") {
            return checkEvents(answer, name, expected);
        }
        Reason reason;
        const std::optional<boost::json::object> body = JsonText::object(answer.body, ResultCode::MalformedRequest, reason);
        if (!body) {
            tally.violations.push_back(name + ": the answer is not JSON");
            return Outcome::None;
        }
        if (answer.status != 200) {
            return refused(*body, name);
        }
        const boost::json::value *result = body->if_contains("result");
        const std::string got(result != nullptr ? JsonText::text(result->as_object(), "receipt") : JsonText::text(*body, "text"));
        if (got != expected) {
            tally.violations.push_back(name + ": got '" + got + "' in place of '" + expected + "'");
            return Outcome::None;
        }
        ++tally.answered;
        return Outcome::Answered;
    }

    Outcome checkEvents(const LoadCaller::Answer &answer, const std::string &name, const std::string &expected)
    {
        LoadTally &tally = m_driver.m_tally;
        SseReader reader;
        bool good = true;
        std::string got;
        std::size_t tokens = 0;
        boost::json::object last;
        for (const std::string &it : reader.feed(answer.body, good)) {
            Reason reason;
            last = JsonText::object(it, ResultCode::MalformedRequest, reason).value_or(boost::json::object());
            if (last.contains("position")) {
                good = good && JsonText::number(last, "position") == tokens++;
                got += JsonText::text(last, "text");
            }
        }
        if (last.contains("code")) {
            if (!expected.starts_with(got)) {
                tally.violations.push_back(name + ": tokens of another answer before a refusal");
            }
            return refused(last, name);
        }
        const bool whole = good && got == expected && JsonText::number(last, "tokens") == tokens
            && JsonText::text(last, "checksum") == Hash::hex(Hash::of(got));
        if (!whole) {
            tally.violations.push_back(name + ": the stream is not whole: '" + got + "' in place of '" + expected + "'");
            return Outcome::None;
        }
        ++tally.answered;
        ++tally.streamed;
        return Outcome::Answered;
    }

    Outcome refused(const boost::json::object &refusal, const std::string &name)
    {
        LoadTally &tally = m_driver.m_tally;
        const std::size_t code = JsonText::number(refusal, "code");
        const std::string_view run = JsonText::text(refusal, "run");
        ++tally.refused[static_cast<unsigned>(code)];
        tally.history[name] += boost::json::serialize(refusal) + " ";
        if (run == "no" && !JsonText::text(refusal, "request_id").empty()) {
            tally.notRun.emplace_back(JsonText::text(refusal, "request_id"));
        }
        const bool family = code / 100 != 2 || run == "no" || code == 207;
        if (code == 0 || run.empty() || !family) {
            tally.violations.push_back(name + ": the refusal is not honest: " + boost::json::serialize(refusal));
        }
        return Outcome::Refused;
    }

    LoadDriver &m_driver;
    LoadCaller m_caller;
    std::mt19937_64 m_random;
    std::size_t m_daemon;
};

LoadDriver::LoadDriver(Asio::any_io_executor executor, LoadPlan plan)
    : m_executor(std::move(executor))
    , m_plan(std::move(plan))
{
    for (std::size_t it = 0; it < m_plan.daemons.size(); ++it) {
        m_healthy.push_back(std::make_unique<std::atomic<bool>>(true));
    }
}

LoadDriver::~LoadDriver() = default;

LoadTally &LoadDriver::tally()
{
    return m_tally;
}

std::size_t LoadDriver::nextDaemon(std::size_t from) const
{
    const std::size_t n = m_plan.daemons.size();
    for (std::size_t it = 0; it < n; ++it) {
        if (*m_healthy[(from + it) % n]) {
            return (from + it) % n;
        }
    }
    return from % n;
}

void LoadDriver::run()
{
    std::vector<std::future<void>> ends;
    m_working = m_plan.connections;
    std::future<void> health = Asio::co_spawn(Asio::make_strand(m_executor), watchHealth(), Asio::use_future);
    for (std::size_t it = 0; it < m_plan.connections; ++it) {
        ends.push_back(Asio::co_spawn(Asio::make_strand(m_executor), work(it), Asio::use_future));
    }
    for (std::future<void> &it : ends) {
        it.get();
    }
    health.get();
}

Asio::awaitable<void> LoadDriver::work(std::size_t number)
{
    const Asio::any_io_executor strand = co_await Asio::this_coro::executor;
    Caller caller(*this, strand, number);
    for (std::size_t index = m_next++; index < m_plan.requests; index = m_next++) {
        co_await caller.sendOne(index);
        const std::scoped_lock lock(m_tally.mutex);
        ++m_tally.sent;
    }
    --m_working;
}

Asio::awaitable<void> LoadDriver::watchHealth()
{
    const Asio::any_io_executor strand = co_await Asio::this_coro::executor;
    Asio::steady_timer timer(strand);
    while (m_working > 0) {
        for (std::size_t it = 0; it < m_plan.daemons.size(); ++it) {
            HttpClient caller(strand, m_plan.daemons[it]);
            HttpClient::Request request;
            request.path = "/health";
            const std::optional<HttpClient::Response> answer = co_await caller.call(std::move(request), std::chrono::milliseconds(500));
            *m_healthy[it] = answer && answer->status == 200;
        }
        timer.expires_after(healthInterval);
        co_await timer.async_wait(Asio::as_tuple(Asio::use_awaitable));
    }
}

} // namespace Guavalock
