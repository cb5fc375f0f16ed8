#pragma once

#include "Mesh/LinkQueues.h"
#include "Peer/FrameChannel.h"

#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <memory>
#include <string>
#include <utility>

namespace Guavalock
{

/// A connection to another daemon, see MeshLinks.
class MeshLink
{
public:
    MeshLink(LinkQueues::LinkId id, std::shared_ptr<FrameChannel> channel)
        : id(id)
        , channel(std::move(channel))
        , wakeUp(this->channel->strand())
    {
    }

    const LinkQueues::LinkId id;
    const std::shared_ptr<FrameChannel> channel;
    boost::asio::steady_timer wakeUp; ///< Ends the wait of the writing coroutine; accessed only on the channel's strand.
    std::atomic<bool> closed{false};
    bool idle = false; ///< Whether the writing coroutine waits; guarded by the lock of MeshLinks.
    std::string vm; ///< Guarded by the lock of MeshLinks.
};

} // namespace Guavalock
