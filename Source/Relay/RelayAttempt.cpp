#include "Relay/RelayAttempt.h"

#include "Fleet/RouteRecord.h"
#include "Flow/CancelScope.h"
#include "Flow/DeadlineTimer.h"
#include "Relay/AnswerSink.h"
#include "Relay/OpaqueRequest.h"
#include "Relay/RelayCodec.h"
#include "Relay/StreamProgress.h"

namespace Guavalock
{

namespace Asio = boost::asio;

namespace
{

constexpr std::chrono::milliseconds connectTimeout{250}; ///< Far above a round trip; a lost opening packet is sent again after a second.

} // namespace

RelayAttempt::RelayAttempt(const RelayParts &parts, Terms terms, StreamProgress &progress, AnswerSink &sink, Cancellation &cancellation)
    : m_parts(parts)
    , m_terms(std::move(terms))
    , m_progress(progress)
    , m_sink(sink)
    , m_cancellation(cancellation)
    , m_exchange(parts.connections, parts.codec, cancellation.strand())
{
}

void RelayAttempt::onBegun(std::function<void()> handler)
{
    m_begun = std::move(handler);
}

const TargetReport &RelayAttempt::report() const
{
    return m_report;
}

AttemptOutcome RelayAttempt::ended(AttemptOutcome::End end, TargetReport::End report)
{
    m_report.end = report;
    AttemptOutcome outcome;
    outcome.end = end;
    return outcome;
}

AttemptOutcome RelayAttempt::broken()
{
    if (m_cancellation.cause()) {
        return ended(AttemptOutcome::End::Cancelled, TargetReport::End::Cancelled);
    }
    if (m_silent) {
        return ended(AttemptOutcome::End::Silent, TargetReport::End::Late);
    }
    // A target may close an idle connection at any time; that says nothing of the target.
    return ended(AttemptOutcome::End::Broken, m_exchange.reused() ? TargetReport::End::Cancelled : TargetReport::End::Broken);
}

std::string RelayAttempt::requestText() const
{
    const OpaqueRequest &request = m_terms.request;
    std::string text = request.method + ' ' + request.target + " HTTP/1.1\r\n";
    for (const auto &[name, value] : m_parts.codec.headers(request, m_terms.send)) {
        text += name + ": " + value + "\r\n";
    }
    if (!request.body.empty() || request.method == "POST" || request.method == "PUT") {
        text += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
    }
    return text + "\r\n" + request.body;
}

Asio::awaitable<AttemptOutcome> RelayAttempt::run()
{
    const CancelScope scope(m_cancellation, [this] { m_exchange.close(); });
    AttemptOutcome outcome = co_await exchange();
    if (outcome.end == AttemptOutcome::End::Answered || outcome.end == AttemptOutcome::End::Delivered
        || outcome.end == AttemptOutcome::End::NotRun) {
        m_exchange.finish(m_terms.mostIdle);
    } else {
        m_exchange.close();
    }
    co_return outcome;
}

Asio::awaitable<bool> RelayAttempt::sendRequest()
{
    const Clock::TimePoint until = m_parts.clock.now() + connectTimeout;
    const bool open = co_await m_exchange.open(m_terms.target.address, m_terms.route.reusesConnections(), until);
    if (!open) {
        co_return false;
    }
    m_exchange.send(requestText());
    co_return true;
}

Asio::awaitable<AttemptOutcome> RelayAttempt::exchange()
{
    const Clock::TimePoint start = m_parts.clock.now();
    const bool sent = co_await sendRequest();
    if (!sent) {
        co_return m_cancellation.cause() ? ended(AttemptOutcome::End::Cancelled, TargetReport::End::Cancelled)
                                         : ended(AttemptOutcome::End::NotReached, TargetReport::End::Unreachable);
    }
    std::optional<DeadlineTimer> silence;
    if (m_terms.silenceLimit) {
        silence.emplace(m_cancellation.strand(), m_parts.clock.now() + *m_terms.silenceLimit, [this] {
            if (!m_terms.mayGiveUp()) {
                return;
            }
            m_silent = true;
            m_exchange.close();
        });
    }
    std::optional<AnswerHead> head = co_await m_exchange.head();
    silence.reset();
    if (!head) {
        co_return broken();
    }
    m_report.latency = std::chrono::duration_cast<std::chrono::microseconds>(m_parts.clock.now() - start);
    m_report.load = head->load;
    if (head->requestId != m_terms.request.id && !head->notRun) {
        co_return broken();
    }
    if (m_terms.route.rule == RunRule::Stream && head->success() && head->isSigned && !head->encoded) {
        co_return co_await stream(std::move(*head));
    }
    co_return co_await whole(std::move(*head));
}

Asio::awaitable<AttemptOutcome> RelayAttempt::whole(AnswerHead head)
{
    AttemptOutcome outcome;
    auto progress = UpstreamExchange::Progress::More;
    while (progress == UpstreamExchange::Progress::More) {
        progress = co_await m_exchange.read(outcome.body);
    }
    if (head.notRun) {
        co_return ended(head.inputsGone ? AttemptOutcome::End::InputsGone : AttemptOutcome::End::NotRun,
                        head.wrongTarget ? TargetReport::End::Moved : TargetReport::End::Refused);
    }
    if (progress == UpstreamExchange::Progress::Broken || head.encoded || !head.isSigned) {
        co_return broken();
    }
    outcome.end = AttemptOutcome::End::Answered;
    m_report.end = head.status >= 500 ? TargetReport::End::Failed : TargetReport::End::Answered;
    outcome.head = std::move(head);
    co_return outcome;
}

Asio::awaitable<bool> RelayAttempt::passOn(const AnswerHead &head, const std::string &data)
{
    if (!m_progress.begun) {
        m_progress.begun = true;
        const bool begun = co_await m_sink.begin(head);
        if (!begun) {
            co_return false;
        }
        if (m_begun) {
            m_begun();
        }
    }
    co_return co_await m_sink.part(data);
}

Asio::awaitable<AttemptOutcome> RelayAttempt::stream(AnswerHead head)
{
    auto progress = UpstreamExchange::Progress::More;
    while (progress == UpstreamExchange::Progress::More) {
        std::string data;
        progress = co_await m_exchange.read(data);
        if (m_terms.route.resumable) {
            data = m_progress.events.take(data);
        }
        if (!data.empty()) {
            const bool taken = co_await passOn(head, data);
            if (!taken) {
                co_return ended(AttemptOutcome::End::CallerGone, TargetReport::End::Cancelled);
            }
        }
    }
    const bool whole = progress == UpstreamExchange::Progress::End && !m_progress.events.partial();
    if (!whole) {
        m_progress.events.reset();
        AttemptOutcome outcome = broken();
        if (m_progress.begun && outcome.end == AttemptOutcome::End::Broken) {
            outcome.end = AttemptOutcome::End::Cut;
        }
        co_return outcome;
    }
    if (!m_progress.begun) {
        const bool begun = co_await m_sink.begin(head);
        m_progress.begun = begun;
    }
    const bool ended = co_await m_sink.end();
    m_report.end = TargetReport::End::Answered;
    AttemptOutcome outcome;
    outcome.end = ended ? AttemptOutcome::End::Delivered : AttemptOutcome::End::CallerGone;
    outcome.head = std::move(head);
    co_return outcome;
}

} // namespace Guavalock
