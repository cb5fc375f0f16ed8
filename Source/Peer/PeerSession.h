#pragma once

#include "Peer/FrameReader.h"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace Guavalock
{

class AttemptRoute;
class Cancellation;
class FrameChannel;
struct DaemonContext;

/// Serves one connection opened by a peer: handles its control frames and executes its stage calls at local targets.
///
/// Owned by a shared_ptr. Runs on the channel's strand.
class PeerSession : public std::enable_shared_from_this<PeerSession>
{
public:
    /// Callbacks for control frames. `vm` is the name of the peer.
    struct Events {
        std::function<void(const std::string &vm, const MemberTable::Heartbeat &)> heartbeat;
        std::function<void(std::uint64_t fingerprint, std::size_t deaths)> death;
        std::function<void(const std::string &vm, std::vector<ConfigurationTable::OffsetRecord>, std::uint64_t from, std::uint64_t next)>
            records;
        std::function<void(const std::string &pool, const std::string &target, const LoadReport &)> targetStatus;
        std::function<FrameBuilder::Bytes()> snapshot;
    };

    PeerSession(const DaemonContext &context, AttemptRoute &localRoute, std::shared_ptr<FrameChannel> channel, const Events &events);

    /// Authenticates the peer and serves it until the connection is closed.
    boost::asio::awaitable<void> run();

private:
    void setHandlers(const std::string &vm);
    void startCall(std::uint64_t call, StageCall stage);
    boost::asio::awaitable<void> serveCall(std::uint64_t call, StageCall stage, std::shared_ptr<Cancellation> cancellation);
    void removeCall(std::uint64_t call);
    void cancelCall(std::uint64_t call);

    const DaemonContext &m_context;
    AttemptRoute &m_localRoute;
    std::shared_ptr<FrameChannel> m_channel;
    const Events &m_events;
    FrameHandlers m_handlers;
    std::map<std::uint64_t, std::shared_ptr<Cancellation>> m_calls;
};

} // namespace Guavalock
