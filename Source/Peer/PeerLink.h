#pragma once

#include "Decisions/Backoff.h"
#include "Peer/FrameBuilder.h"
#include "Peer/FrameReader.h"
#include "Settings/PeerSettings.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <utility>

namespace Guavalock
{

class Cancellation;
class FrameChannel;
class MemberTable;
class TokenSink;
class PeerCall;
struct DaemonContext;

/// The outgoing connection to one peer. Reconnects when the connection is lost; carries control frames and the stage calls that the
/// peer executes.
class PeerLink
{
public:
    using Bytes = FrameBuilder::Bytes;

    struct Events {
        std::function<void()> connected;
        std::function<void(ConfigurationTree)> snapshot;
    };

    PeerLink(const DaemonContext &context, MemberTable &members, PeerSettings peer, Events events);
    ~PeerLink();

    void start();

    /// Sends a control frame if the link is up. Thread-safe.
    void send(Bytes frame);

    /// Tells the peer of target crashes. The handler is called on any thread when the peer has acknowledged them or the link is down.
    void announceCrashes(std::uint64_t fingerprint, std::size_t crashes, std::function<void()> handler);

    /// Executes one attempt of a stage at the peer. Runs on the request's strand.
    boost::asio::awaitable<AttemptResult> call(const StageCall &stage, TokenSink &sink, Cancellation &cancellation);

    const PeerSettings &peer() const;

private:
    boost::asio::awaitable<void> maintainConnection();
    boost::asio::awaitable<std::shared_ptr<FrameChannel>> connect();
    boost::asio::awaitable<void> receive(FrameChannel &channel);
    void startCall(std::uint64_t call, const std::shared_ptr<PeerCall> &waiting, Bytes frame);
    void abandonCall(std::uint64_t call);
    void deliverTokens(std::uint64_t call, std::vector<GeneratedToken> tokens);
    void finishCall(std::uint64_t call, AttemptResult result);
    void handleDisconnect();
    void finishAnnouncement(std::uint64_t fingerprint, std::size_t crashes);

    const DaemonContext &m_context;
    MemberTable &m_members;
    PeerSettings m_peer;
    Events m_events;
    boost::asio::any_io_executor m_strand;
    FrameHandlers m_handlers;
    std::shared_ptr<FrameChannel> m_channel;
    std::map<std::uint64_t, std::shared_ptr<PeerCall>> m_calls;
    /// By fingerprint and number of crashes.
    std::multimap<std::pair<std::uint64_t, std::size_t>, std::function<void()>> m_announcements;
    std::atomic<std::uint64_t> m_lastCall{0};
    Backoff m_backoff;
    RandomEngine m_random;
};

} // namespace Guavalock
