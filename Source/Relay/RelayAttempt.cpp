#include "Relay/RelayAttempt.h"

#include "Fleet/AvailabilityRecorder.h"
#include "Fleet/RouteRecord.h"
#include "Flow/CancelScope.h"
#include "Flow/DeadlineTimer.h"
#include "Kernel/Counter.h"
#include "Kernel/Log.h"
#include "Kernel/Metrics.h"
#include "Net/BufferBudget.h"
#include "Relay/OpaqueRequest.h"
#include "Relay/RelayCodec.h"
#include "Relay/ResponseSink.h"
#include "Relay/StreamProgress.h"

namespace Guavalock
{

namespace Asio = boost::asio;

namespace
{

constexpr std::chrono::milliseconds connectTimeout{250}; ///< Far above a round trip. TCP retransmits a lost SYN only after 1 s.

} // namespace

RelayAttempt::RelayAttempt(const RelayContext &context, Parameters parameters, StreamProgress &progress, ResponseSink &sink,
                           Cancellation &cancellation)
    : m_context(context)
    , m_parameters(std::move(parameters))
    , m_progress(progress)
    , m_sink(sink)
    , m_cancellation(cancellation)
    , m_exchange(context.connections, context.codec, cancellation.strand())
{
}

void RelayAttempt::onStreamStarted(std::function<void()> handler)
{
    m_onStreamStarted = std::move(handler);
}

const AttemptReport &RelayAttempt::report() const
{
    return m_report;
}

const std::optional<Clock::TimePoint> &RelayAttempt::firstEventTime() const
{
    return m_firstEventTime;
}

AttemptOutcome RelayAttempt::makeOutcome(AttemptOutcome::Result result, AttemptReport::Outcome reportEnd)
{
    m_report.outcome = reportEnd;
    AttemptOutcome outcome;
    outcome.result = result;
    return outcome;
}

AttemptOutcome RelayAttempt::makeFailureOutcome()
{
    if (m_cancellation.cause()) {
        return makeOutcome(AttemptOutcome::Result::Cancelled, AttemptReport::Outcome::Cancelled);
    }
    if (m_timedOut) {
        return makeOutcome(AttemptOutcome::Result::TimedOut, AttemptReport::Outcome::TimedOut);
    }
    if (!m_exchange.invalidity().empty()) {
        m_context.metrics.counter("responses_invalid_total").add();
        Log::warning("relay", "invalid-response",
                     {{"id", m_parameters.request.id}, {"target", m_parameters.target.id}, {"reason", m_exchange.invalidity()}});
    }
    m_report.isBroken = true;
    // A target may close an idle connection at any time, so a failure on a reused connection does not count against the target.
    return makeOutcome(AttemptOutcome::Result::NoResponse,
                       m_exchange.reused() ? AttemptReport::Outcome::Cancelled : AttemptReport::Outcome::ConnectionLost);
}

std::string RelayAttempt::serializeRequest() const
{
    const OpaqueRequest &request = m_parameters.request;
    std::string text = request.method + ' ' + request.requestTarget + " HTTP/1.1\r\n";
    for (const auto &[name, value] : m_context.codec.upstreamHeaders(request, m_parameters.upstream)) {
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
    if (outcome.result == AttemptOutcome::Result::Responded || outcome.result == AttemptOutcome::Result::Streamed
        || outcome.result == AttemptOutcome::Result::NotExecuted) {
        m_exchange.release(m_parameters.maxIdleConnections);
    } else {
        m_exchange.close();
    }
    co_return outcome;
}

Asio::awaitable<bool> RelayAttempt::sendRequest()
{
    const Clock::TimePoint deadline = m_context.clock.now() + connectTimeout;
    const bool open = co_await m_exchange.open(m_parameters.target.address, m_parameters.mayReuseConnection, deadline);
    if (!open) {
        co_return false;
    }
    m_exchange.send(serializeRequest());
    co_return true;
}

Asio::awaitable<AttemptOutcome> RelayAttempt::exchange()
{
    const Clock::TimePoint start = m_context.clock.now();
    const bool sent = co_await sendRequest();
    if (!sent) {
        co_return m_cancellation.cause() ? makeOutcome(AttemptOutcome::Result::Cancelled, AttemptReport::Outcome::Cancelled)
                                         : makeOutcome(AttemptOutcome::Result::Unreachable, AttemptReport::Outcome::Unreachable);
    }
    std::optional<DeadlineTimer> firstByteTimer;
    if (m_parameters.firstByteTimeout) {
        firstByteTimer.emplace(m_cancellation.strand(), m_context.clock.now() + *m_parameters.firstByteTimeout, [this] {
            if (!m_parameters.mayAbandon()) {
                return;
            }
            m_timedOut = true;
            m_exchange.close();
        });
    }
    std::optional<UpstreamResponseHead> head = co_await m_exchange.head(m_parameters.request.isHead());
    firstByteTimer.reset();
    if (!head) {
        co_return makeFailureOutcome();
    }
    m_report.latency = std::chrono::duration_cast<std::chrono::microseconds>(m_context.clock.now() - start);
    m_report.load = head->load;
    // A late response to an earlier request proves nothing about this one. A refusal may lack the id, but then it can only be attributed
    // to this request if nothing else was sent on the connection.
    const bool unattributedRefusal = head->notExecuted && head->requestId.empty() && !m_exchange.reused();
    if (head->requestId != m_parameters.request.id && !unattributedRefusal) {
        co_return makeFailureOutcome();
    }
    // Not at the end of the response, because a stream is forwarded from now on.
    head->availability.requestSentAt = start;
    AvailabilityRecorder(m_context.fleet, m_context.metrics)
        .record(m_parameters.target, head->availability, "response", m_context.clock.now());
    if (isStream(*head)) {
        co_return co_await forwardStream(std::move(*head));
    }
    AttemptOutcome outcome = co_await readComplete(std::move(*head));
    if (m_progress.started && outcome.result == AttemptOutcome::Result::Responded) {
        outcome.result = AttemptOutcome::Result::NoResponse; // The client has received part of a stream and can be sent nothing else.
    }
    co_return outcome;
}

bool RelayAttempt::isStream(const UpstreamResponseHead &head) const
{
    return m_parameters.route.semantics == ExecutionSemantics::Stream && !m_parameters.request.isHead() && head.isSuccess() && head.isSigned
        && !head.hasContentEncoding && (!m_progress.started || head.mediaType == m_progress.mediaType);
}

Asio::awaitable<AttemptOutcome> RelayAttempt::readComplete(UpstreamResponseHead head)
{
    AttemptOutcome outcome;
    BufferBudget::Share memory(m_context.responseMemory);
    auto readResult = UpstreamExchange::ReadResult::More;
    while (readResult == UpstreamExchange::ReadResult::More) {
        readResult = co_await m_exchange.read(outcome.body);
        if (!memory.grow(outcome.body.size())) {
            readResult = UpstreamExchange::ReadResult::Failed;
        }
    }
    if (head.notExecuted) {
        co_return makeOutcome(head.inputsMissing ? AttemptOutcome::Result::InputsMissing : AttemptOutcome::Result::NotExecuted,
                              head.wrongTarget ? AttemptReport::Outcome::AddressReused : AttemptReport::Outcome::Refused);
    }
    if (readResult == UpstreamExchange::ReadResult::Failed || head.hasContentEncoding || !head.isSigned) {
        co_return makeFailureOutcome();
    }
    outcome.result = AttemptOutcome::Result::Responded;
    const bool failed = head.status >= 500 || head.deniesExecution;
    m_report.outcome = failed ? AttemptReport::Outcome::Failed : AttemptReport::Outcome::Answered;
    outcome.head = std::move(head);
    co_return outcome;
}

Asio::awaitable<bool> RelayAttempt::forwardChunk(const UpstreamResponseHead &head, const std::string &data)
{
    if (!m_progress.started) {
        m_progress.started = true;
        m_progress.mediaType = head.mediaType;
        const bool started = co_await m_sink.startStream(head);
        if (!started) {
            co_return false;
        }
        if (m_onStreamStarted) {
            m_onStreamStarted();
        }
    }
    co_return co_await m_sink.sendChunk(data);
}

Asio::awaitable<AttemptOutcome> RelayAttempt::forwardStream(UpstreamResponseHead head)
{
    auto readResult = UpstreamExchange::ReadResult::More;
    std::optional<DeadlineTimer> stallTimer;
    bool progressed = true;
    while (readResult == UpstreamExchange::ReadResult::More) {
        if (progressed) {
            stallTimer.emplace(m_cancellation.strand(), m_context.clock.now() + m_parameters.eventTimeout, [this] { m_exchange.close(); });
        }
        std::string data;
        readResult = co_await m_exchange.read(data);
        std::string events = m_progress.events.append(data);
        progressed = EventSplitter::containsData(events);
        if (progressed && !m_firstEventTime) {
            m_firstEventTime = m_context.clock.now();
        }
        if (m_progress.events.overflowed()) {
            readResult = UpstreamExchange::ReadResult::Failed;
        }
        if (m_parameters.route.resumable) {
            data = std::move(events);
        }
        if (!data.empty()) {
            const bool forwarded = co_await forwardChunk(head, data);
            if (!forwarded) {
                co_return makeOutcome(AttemptOutcome::Result::ClientDisconnected, AttemptReport::Outcome::Cancelled);
            }
        }
    }
    stallTimer.reset();
    // If the end of the connection is all that ends a stream, one without events cannot be told from one that broke off.
    const bool complete = readResult == UpstreamExchange::ReadResult::Complete && !m_progress.events.hasPartialEvent()
        && (m_firstEventTime || !m_exchange.endsWithConnection());
    if (!complete) {
        m_progress.events.discardPartialEvent();
        AttemptOutcome outcome = makeFailureOutcome();
        if (m_progress.started && outcome.result == AttemptOutcome::Result::NoResponse) {
            outcome.result = AttemptOutcome::Result::StreamInterrupted;
        }
        co_return outcome;
    }
    if (!m_progress.started) {
        const bool started = co_await m_sink.startStream(head);
        m_progress.started = started;
    }
    const bool finished = co_await m_sink.finishStream();
    m_report.outcome = AttemptReport::Outcome::Answered;
    AttemptOutcome outcome;
    outcome.result = finished ? AttemptOutcome::Result::Streamed : AttemptOutcome::Result::ClientDisconnected;
    outcome.head = std::move(head);
    co_return outcome;
}

} // namespace Guavalock
