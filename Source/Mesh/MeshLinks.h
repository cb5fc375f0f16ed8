#pragma once

#include "Fleet/Evidence.h"
#include "Fleet/RecordUpdate.h"
#include "Kernel/Clock.h"
#include "Kernel/RankedMutex.h"
#include "Mesh/LinkQueues.h"

#include <boost/asio/awaitable.hpp>

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Guavalock
{

class Counter;
class FrameChannel;
class MeshLink;
class Metrics;

/// Writes the frames of all links as LinkQueues decides, and builds the updates and snapshots that it asks for. Lock rank: LinkQueues.
class MeshLinks
{
public:
    /// Where the content of frames comes from that are built when their link is free. Called without a lock.
    struct Sources {
        std::function<RecordUpdate(Topic, RecordPosition from)> records;
        std::function<Evidence()> snapshot;
    };

    MeshLinks(const Clock &clock, Metrics &metrics, std::size_t budgetBytes);
    ~MeshLinks();

    /// Must be set before the first link is opened.
    void setSources(Sources sources);

    /// Begins to write to a connection, until it is closed.
    std::shared_ptr<MeshLink> open(const std::shared_ptr<FrameChannel> &channel);

    /// Closes the connection of a link and drops what is queued for it. Thread-safe.
    void close(const std::shared_ptr<MeshLink> &link);

    /// Sets the daemon at the other end, for the log. Thread-safe.
    void setPeer(const MeshLink &link, const std::string &vm);

    // These queue something for the receiver of a link. Thread-safe.
    void push(const MeshLink &link, FrameClass frameClass, SharedFrame frame, LinkQueue::Slot slot = LinkQueue::Slot::None);
    void requestRecords(const MeshLink &link, const RecordWant &want);
    void requestSnapshot(const MeshLink &link);

    /// Drops the links whose receivers don't read, and updates the gauges. Thread-safe; to be called regularly.
    void check();

private:
    using LinkId = LinkQueues::LinkId;

    boost::asio::awaitable<void> write(std::shared_ptr<MeshLink> link);
    LinkTurn next(const MeshLink &link);
    void finish(const MeshLink &link);
    void sendSnapshot(const MeshLink &link);
    void sendUpdate(const MeshLink &link, const RecordWant &want);
    /// Lets a link that has nothing to do look for work. The lock must be held.
    void wake(LinkId link);
    /// Closes the connections of links that have been dropped. Must be called without the lock.
    void closeDropped(const std::vector<LinkQueues::Drop> &drops);

    /// What has been sent of one class.
    struct Sent {
        Counter *frames = nullptr;
        Counter *bytes = nullptr;
    };

    const Clock &m_clock;
    Metrics &m_metrics;
    std::array<Sent, allFrameClasses.size()> m_sent; ///< By class.
    Sources m_sources;
    RankedMutex m_mutex{LockRank::LinkQueues};
    LinkQueues m_queues;
    std::map<LinkId, std::shared_ptr<MeshLink>> m_links;
};

} // namespace Guavalock
