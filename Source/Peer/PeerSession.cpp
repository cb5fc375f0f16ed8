#include "Peer/PeerSession.h"

#include "Flow/AttemptRoute.h"
#include "Flow/Cancellation.h"
#include "Flow/TokenSink.h"
#include "Kernel/Counter.h"
#include "Kernel/Log.h"
#include "Kernel/Metrics.h"
#include "Peer/FrameChannel.h"
#include "Peer/PeerHandshake.h"
#include "Pipeline/DaemonContext.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>

namespace Guavalock
{

namespace Asio = boost::asio;

namespace
{

/// Forwards the generated tokens of a stage that is executed locally to the peer that requested it.
class ForwardingSink : public TokenSink
{
public:
    ForwardingSink(FrameChannel &channel, std::uint64_t call)
        : m_channel(channel)
        , m_call(call)
    {
    }

    Asio::awaitable<Next> accept(std::vector<GeneratedToken> tokens) override
    {
        m_channel.send(FrameBuilder::tokens(m_call, tokens));
        co_return Next::Continue;
    }

private:
    FrameChannel &m_channel;
    std::uint64_t m_call;
};

} // namespace

PeerSession::PeerSession(const DaemonContext &context, AttemptRoute &localRoute, std::shared_ptr<FrameChannel> channel,
                         const Events &events)
    : m_context(context)
    , m_localRoute(localRoute)
    , m_channel(std::move(channel))
    , m_events(events)
{
}

Asio::awaitable<void> PeerSession::run()
{
    const std::optional<FrameBuilder::Hello> hello = co_await PeerHandshake::run(m_context, *m_channel, PeerHandshake::Role::Listener);
    if (!hello) {
        m_context.metrics.counter("peer_authentication_failures_total").add();
        m_channel->close();
        co_return;
    }
    setHandlers(hello->vm);
    for (;;) {
        const std::optional<FrameChannel::Bytes> frame = co_await m_channel->read();
        if (!frame) {
            break;
        }
        if (!FrameReader::dispatch(*frame, m_context.clock.now(), m_handlers)) {
            Log::warning("peer", "frame-invalid", {{"peer", hello->vm}});
            m_channel->close();
            break;
        }
    }
    for (auto &[call, cancellation] : m_calls) {
        cancellation->requestCancel(RefusalCause::CallerClosed);
    }
}

void PeerSession::setHandlers(const std::string &vm)
{
    m_handlers.heartbeat = [this, vm](const MemberTable::Heartbeat &heartbeat) {
        m_events.heartbeat(vm, heartbeat);
    };
    m_handlers.stageCall = [this](std::uint64_t call, StageCall stage) {
        startCall(call, std::move(stage));
    };
    m_handlers.cancel = [this](std::uint64_t call) {
        cancelCall(call);
    };
    m_handlers.death = [this](std::uint64_t fingerprint, std::size_t deaths) {
        m_events.death(fingerprint, deaths);
        m_channel->send(FrameBuilder::deathSeen(fingerprint, deaths));
    };
    m_handlers.records = [this, vm](std::vector<ConfigurationTable::OffsetRecord> records, std::uint64_t from, std::uint64_t next) {
        m_events.records(vm, std::move(records), from, next);
    };
    m_handlers.targetStatus = m_events.targetStatus;
    m_handlers.snapshotRequest = [this] {
        m_channel->send(m_events.snapshot());
    };
}

void PeerSession::startCall(std::uint64_t call, StageCall stage)
{
    // Each call runs on its own strand, so that calls of one peer are executed concurrently.
    const Asio::any_io_executor strand = Asio::make_strand(m_context.executor);
    const auto cancellation = std::make_shared<Cancellation>(strand);
    m_calls[call] = cancellation;
    auto serve = [self = shared_from_this(), call, stage = std::move(stage), cancellation]() mutable {
        return self->serveCall(call, std::move(stage), cancellation);
    };
    Asio::co_spawn(strand, std::move(serve), Asio::detached);
}

Asio::awaitable<void> PeerSession::serveCall(std::uint64_t call, StageCall stage, std::shared_ptr<Cancellation> cancellation)
{
    m_context.metrics.counter("peer_calls_served_total").add();
    ForwardingSink sink(*m_channel, call);
    const AttemptResult result = co_await m_localRoute.attempt(stage, sink, *cancellation);
    m_channel->send(FrameBuilder::stageEnd(call, result));
    removeCall(call);
}

void PeerSession::removeCall(std::uint64_t call)
{
    Asio::post(m_channel->strand(), [self = shared_from_this(), call] { self->m_calls.erase(call); });
}

void PeerSession::cancelCall(std::uint64_t call)
{
    const auto it = m_calls.find(call);
    if (it != m_calls.end()) {
        it->second->requestCancel(RefusalCause::CallerClosed);
    }
}

} // namespace Guavalock
