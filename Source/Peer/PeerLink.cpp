#include "Peer/PeerLink.h"

#include "Decisions/Hash.h"
#include "Flow/CancelScope.h"
#include "Flow/DeadlineTimer.h"
#include "Flow/TokenSink.h"
#include "Kernel/Log.h"
#include "Peer/FrameChannel.h"
#include "Peer/PeerCall.h"
#include "Peer/PeerHandshake.h"
#include "Pipeline/DaemonContext.h"
#include "Settings/ProcessSettings.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace Guavalock
{

namespace Asio = boost::asio;

namespace
{

constexpr std::chrono::milliseconds initialBackoff{50};
constexpr std::chrono::milliseconds maxBackoff{2'000};
constexpr std::chrono::milliseconds connectTimeout{1'000};
/// Added to the deadline when waiting for a result: the peer enforces the deadline itself, but its result still has to be transferred.
constexpr std::chrono::milliseconds resultGrace{50};

AttemptResult resultWithoutTarget(StageAttemptOutcome end, std::string detail)
{
    AttemptResult result;
    result.outcome = end;
    result.detail = std::move(detail);
    if (end == StageAttemptOutcome::NotSent) {
        result.cause = RefusalCause::PeerUnreachable;
    }
    return result;
}

} // namespace

PeerLink::PeerLink(const DaemonContext &context, MemberTable &members, PeerSettings peer, Events events)
    : m_context(context)
    , m_members(members)
    , m_peer(std::move(peer))
    , m_events(std::move(events))
    , m_strand(Asio::make_strand(context.executor))
    , m_backoff(initialBackoff, maxBackoff)
    , m_random(Hash::of(context.incarnation + m_peer.vm))
{
    m_handlers.tokens = [this](std::uint64_t call, std::vector<GeneratedToken> tokens) {
        deliverTokens(call, std::move(tokens));
    };
    m_handlers.stageEnd = [this](std::uint64_t call, AttemptResult result) {
        finishCall(call, std::move(result));
    };
    m_handlers.deathSeen = [this](std::uint64_t fingerprint, std::size_t crashes) {
        finishAnnouncement(fingerprint, crashes);
    };
    m_handlers.snapshot = [this](ConfigurationTree tree) {
        m_events.snapshot(std::move(tree));
    };
}

PeerLink::~PeerLink() = default;

const PeerSettings &PeerLink::peer() const
{
    return m_peer;
}

void PeerLink::start()
{
    Asio::co_spawn(m_strand, maintainConnection(), Asio::detached);
}

Asio::awaitable<void> PeerLink::maintainConnection()
{
    Asio::steady_timer timer(m_strand);
    for (;;) {
        const std::shared_ptr<FrameChannel> channel = co_await connect();
        if (channel) {
            m_backoff.reset();
            m_channel = channel;
            m_members.markConnected(m_peer.vm, m_context.clock.now());
            Log::info("peer", "link-up", {{"peer", m_peer.vm}, {"data_centre", m_peer.dataCentre}});
            m_events.connected();
            co_await receive(*channel);
            handleDisconnect();
        }
        timer.expires_after(m_backoff.next(m_random));
        co_await timer.async_wait(Asio::as_tuple(Asio::use_awaitable));
    }
}

Asio::awaitable<std::shared_ptr<FrameChannel>> PeerLink::connect()
{
    Asio::ip::tcp::socket socket(m_strand);
    {
        const DeadlineTimer timer(m_strand, m_context.clock.now() + connectTimeout, [&socket] {
            boost::system::error_code ignored;
            socket.close(ignored);
        });
        const Asio::ip::tcp::endpoint remote(Asio::ip::make_address(m_peer.address.address), m_peer.address.port);
        const auto [ec] = co_await socket.async_connect(remote, Asio::as_tuple(Asio::use_awaitable));
        if (ec) {
            co_return nullptr;
        }
    }
    auto channel = std::make_shared<FrameChannel>(std::move(socket));
    const std::optional<FrameBuilder::Hello> hello = co_await PeerHandshake::run(m_context, *channel, PeerHandshake::Role::Dialler);
    if (!hello || hello->vm != m_peer.vm) {
        Log::warning("peer", "peer-not-authenticated", {{"peer", m_peer.vm}, {"address", m_peer.address.text()}});
        channel->close();
        co_return nullptr;
    }
    co_return channel;
}

Asio::awaitable<void> PeerLink::receive(FrameChannel &channel)
{
    for (;;) {
        const std::optional<FrameChannel::Bytes> frame = co_await channel.read();
        if (!frame) {
            co_return;
        }
        if (!FrameReader::dispatch(*frame, m_context.clock.now(), m_handlers)) {
            Log::warning("peer", "frame-invalid", {{"peer", m_peer.vm}});
            channel.close();
            co_return;
        }
    }
}

void PeerLink::handleDisconnect()
{
    m_channel = nullptr;
    m_members.markDisconnected(m_peer.vm);
    Log::warning("peer", "link-down", {{"peer", m_peer.vm}, {"calls", std::to_string(m_calls.size())}});
    for (auto &[id, waiting] : m_calls) {
        waiting->deliver(resultWithoutTarget(StageAttemptOutcome::Lost, "the connection to the peer " + m_peer.vm + " was lost"));
    }
    m_calls.clear();
    for (const auto &[key, handler] : std::exchange(m_announcements, {})) {
        handler();
    }
}

void PeerLink::announceCrashes(std::uint64_t fingerprint, std::size_t crashes, std::function<void()> handler)
{
    Asio::post(m_strand, [this, fingerprint, crashes, handler = std::move(handler)]() mutable {
        if (!m_channel) {
            handler();
            return;
        }
        m_announcements.emplace(std::pair(fingerprint, crashes), std::move(handler));
        m_channel->send(FrameBuilder::death(fingerprint, crashes));
    });
}

void PeerLink::finishAnnouncement(std::uint64_t fingerprint, std::size_t crashes)
{
    const auto [first, last] = m_announcements.equal_range({fingerprint, crashes});
    for (auto it = first; it != last; it = m_announcements.erase(it)) {
        it->second();
    }
}

void PeerLink::send(Bytes frame)
{
    Asio::post(m_strand, [this, frame = std::move(frame)]() mutable {
        if (m_channel) {
            m_channel->send(std::move(frame));
        }
    });
}

void PeerLink::startCall(std::uint64_t call, const std::shared_ptr<PeerCall> &waiting, Bytes frame)
{
    Asio::post(m_strand, [this, call, waiting, frame = std::move(frame)]() mutable {
        if (!m_channel) {
            waiting->deliver(resultWithoutTarget(StageAttemptOutcome::NotSent, "no connection to the peer " + m_peer.vm));
            return;
        }
        m_calls[call] = waiting;
        m_channel->send(std::move(frame));
    });
}

void PeerLink::abandonCall(std::uint64_t call)
{
    Asio::post(m_strand, [this, call] {
        const bool pending = m_calls.erase(call) > 0;
        if (pending && m_channel) {
            m_channel->send(FrameBuilder::cancel(call));
        }
    });
}

void PeerLink::deliverTokens(std::uint64_t call, std::vector<GeneratedToken> tokens)
{
    const auto it = m_calls.find(call);
    if (it != m_calls.end()) {
        it->second->deliver(std::move(tokens));
    }
}

void PeerLink::finishCall(std::uint64_t call, AttemptResult result)
{
    const auto it = m_calls.find(call);
    if (it != m_calls.end()) {
        it->second->deliver(std::move(result));
        m_calls.erase(it);
    }
}

Asio::awaitable<AttemptResult> PeerLink::call(const StageCall &stage, TokenSink &sink, Cancellation &cancellation)
{
    const auto waiting = std::make_shared<PeerCall>(cancellation.strand());
    const std::uint64_t id = ++m_lastCall;
    startCall(id, waiting, FrameBuilder::stageCall(id, stage, m_context.clock.now()));
    for (;;) {
        std::optional<PeerCall::Message> message = co_await waiting->next(stage.requirements.deadline + resultGrace, cancellation);
        if (!message) {
            abandonCall(id);
            AttemptResult result
                = resultWithoutTarget(cancellation.cause() ? StageAttemptOutcome::Cancelled : StageAttemptOutcome::TimedOut,
                                      "no result was received from the peer");
            result.cause = cancellation.cause();
            co_return result;
        }
        if (AttemptResult *result = std::get_if<AttemptResult>(&*message)) {
            co_return std::move(*result);
        }
        if (co_await sink.accept(std::move(std::get<std::vector<GeneratedToken>>(*message))) == TokenSink::Next::Stop) {
            abandonCall(id);
            co_return resultWithoutTarget(cancellation.cause() ? StageAttemptOutcome::Cancelled : StageAttemptOutcome::Invalid,
                                          "the stream does not continue the text received so far");
        }
    }
}

} // namespace Guavalock
