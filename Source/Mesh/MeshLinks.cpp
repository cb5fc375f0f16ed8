#include "Mesh/MeshLinks.h"

#include "Kernel/Counter.h"
#include "Kernel/Gauge.h"
#include "Kernel/Log.h"
#include "Kernel/Metrics.h"
#include "Mesh/EvidenceFrames.h"
#include "Mesh/MeshCodec.h"
#include "Mesh/MeshLink.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <utility>

namespace Guavalock
{

namespace Asio = boost::asio;

namespace
{

/// Time after which a link looks again whether the budget has room for an update. Short compared with the time that writing one takes.
constexpr std::chrono::milliseconds roomPollInterval{20};

constexpr const char *reasonName(LinkQueues::DropReason reason)
{
    constexpr std::array names{"stalled", "share", "budget"};
    return names[static_cast<unsigned char>(reason)];
}

std::string labelOf(FrameClass frameClass)
{
    return std::string("{class=\"") + frameClassName(frameClass) + "\"}";
}

} // namespace

MeshLinks::MeshLinks(const Clock &clock, Metrics &metrics, std::size_t budgetBytes)
    : m_clock(clock)
    , m_metrics(metrics)
    , m_queues(budgetBytes)
{
    for (const FrameClass it : allFrameClasses) {
        m_sent.at(static_cast<std::size_t>(it))
            = {&metrics.counter("mesh_frames_sent_total" + labelOf(it)), &metrics.counter("mesh_bytes_sent_total" + labelOf(it))};
    }
}

MeshLinks::~MeshLinks() = default;

void MeshLinks::setSources(Sources sources)
{
    m_sources = std::move(sources);
}

std::shared_ptr<MeshLink> MeshLinks::open(const std::shared_ptr<FrameChannel> &channel)
{
    std::shared_ptr<MeshLink> link;
    {
        const std::scoped_lock lock(m_mutex);
        link = std::make_shared<MeshLink>(m_queues.add(), channel);
        m_links[link->id] = link;
    }
    Asio::co_spawn(channel->strand(), write(link), Asio::detached);
    return link;
}

void MeshLinks::close(const std::shared_ptr<MeshLink> &link)
{
    {
        const std::scoped_lock lock(m_mutex);
        m_queues.remove(link->id);
        m_links.erase(link->id);
    }
    link->closed = true;
    link->channel->close();
    Asio::post(link->channel->strand(), [link] { link->wakeUp.cancel(); });
}

void MeshLinks::setPeer(const MeshLink &link, const std::string &vm)
{
    const std::scoped_lock lock(m_mutex);
    if (const auto it = m_links.find(link.id); it != m_links.end()) {
        it->second->vm = vm;
    }
}

void MeshLinks::wake(LinkId link)
{
    const auto it = m_links.find(link);
    if (it != m_links.end() && std::exchange(it->second->idle, false)) {
        Asio::post(it->second->channel->strand(), [link = it->second] { link->wakeUp.cancel(); });
    }
}

void MeshLinks::push(const MeshLink &link, FrameClass frameClass, SharedFrame frame, LinkQueue::Slot slot)
{
    std::vector<LinkQueues::Drop> drops;
    {
        const std::scoped_lock lock(m_mutex);
        m_queues.push(link.id, frameClass, std::move(frame), slot, m_clock.now());
        wake(link.id);
        drops = m_queues.takeDrops();
    }
    closeDropped(drops);
}

void MeshLinks::requestRecords(const MeshLink &link, const RecordWant &want)
{
    const std::scoped_lock lock(m_mutex);
    m_queues.requestRecords(link.id, want);
    wake(link.id);
}

void MeshLinks::requestSnapshot(const MeshLink &link)
{
    const std::scoped_lock lock(m_mutex);
    m_queues.requestSnapshot(link.id);
    wake(link.id);
}

void MeshLinks::check()
{
    std::vector<LinkQueues::Drop> drops;
    BytesByClass queued{};
    std::size_t used = 0;
    {
        const std::scoped_lock lock(m_mutex);
        m_queues.dropStalled(m_clock.now());
        drops = m_queues.takeDrops();
        queued = m_queues.bytesByClass();
        used = m_queues.usedBytes();
    }
    closeDropped(drops);
    m_metrics.gauge("mesh_queued_bytes").set(static_cast<std::int64_t>(used));
    for (const FrameClass it : allFrameClasses) {
        m_metrics.gauge("mesh_class_queued_bytes" + labelOf(it)).set(static_cast<std::int64_t>(queued.at(static_cast<std::size_t>(it))));
    }
}

void MeshLinks::closeDropped(const std::vector<LinkQueues::Drop> &drops)
{
    for (const LinkQueues::Drop &drop : drops) {
        std::shared_ptr<MeshLink> link;
        std::string peer;
        {
            const std::scoped_lock lock(m_mutex);
            const auto it = m_links.find(drop.link);
            if (it == m_links.end()) {
                continue;
            }
            link = it->second;
            peer = link->vm;
        }
        const char *reason = reasonName(drop.reason);
        m_metrics.counter(std::string("mesh_links_dropped_total{reason=\"") + reason + "\"}").add();
        const auto queued = [&](FrameClass it) {
            return std::to_string(drop.queued.at(static_cast<std::size_t>(it)));
        };
        Log::warning("mesh", "link-dropped",
                     {{"peer", peer},
                      {"reason", reason},
                      {"liveness_bytes", queued(FrameClass::Liveness)},
                      {"work_bytes", queued(FrameClass::Work)},
                      {"evidence_bytes", queued(FrameClass::Evidence)},
                      {"records_bytes", queued(FrameClass::Records)}});
        close(link);
    }
}

LinkTurn MeshLinks::next(const MeshLink &link)
{
    const std::scoped_lock lock(m_mutex);
    LinkTurn turn = m_queues.next(link.id, m_clock.now());
    if (const auto it = m_links.find(link.id); it != m_links.end()) {
        it->second->idle = turn.frames.empty() && !turn.snapshot && !turn.records;
    }
    return turn;
}

void MeshLinks::finish(const MeshLink &link)
{
    SentFrames sent;
    {
        const std::scoped_lock lock(m_mutex);
        sent = m_queues.finish(link.id);
    }
    for (const FrameClass it : allFrameClasses) {
        const auto index = static_cast<std::size_t>(it);
        m_sent.at(index).frames->add(sent.frames.at(index));
        m_sent.at(index).bytes->add(sent.bytes.at(index));
    }
}

void MeshLinks::sendSnapshot(const MeshLink &link)
{
    const Evidence evidence = m_sources.snapshot ? m_sources.snapshot() : Evidence();
    if (!evidence.empty()) {
        push(link, FrameClass::Evidence, std::make_shared<const MeshCodec::Bytes>(EvidenceFrames::encode(evidence, m_clock.now())));
    }
}

void MeshLinks::sendUpdate(const MeshLink &link, const RecordWant &want)
{
    SharedFrame frame;
    {
        const std::scoped_lock lock(m_mutex);
        frame = m_queues.findUpdate(want, m_clock.now());
    }
    if (!frame) {
        RecordUpdate update = m_sources.records(want.topic, want.from);
        // It may be sent to others until then.
        update.confirmed -= LinkQueues::updateLifetime;
        MeshCodec::Bytes bytes = MeshCodec::records(update, m_clock.now());
        frame = std::make_shared<const MeshCodec::Bytes>(want.compressed ? MeshCodec::compressed(bytes) : std::move(bytes));
    }
    std::vector<LinkQueues::Drop> drops;
    {
        const std::scoped_lock lock(m_mutex);
        m_queues.offerUpdate(link.id, want, frame, m_clock.now());
        drops = m_queues.takeDrops();
    }
    closeDropped(drops);
}

Asio::awaitable<void> MeshLinks::write(std::shared_ptr<MeshLink> link)
{
    const auto onAccepted = [this, &link] {
        const std::scoped_lock lock(m_mutex);
        m_queues.accept(link->id, m_clock.now());
    };
    while (!link->closed) {
        const LinkTurn turn = next(*link);
        if (!turn.frames.empty()) {
            if (!co_await link->channel->write(turn.frames, onAccepted)) {
                break;
            }
            finish(*link);
        } else if (turn.snapshot) {
            sendSnapshot(*link);
        } else if (turn.records) {
            sendUpdate(*link, *turn.records);
        } else {
            link->wakeUp.expires_at(turn.isBlocked ? m_clock.now() + roomPollInterval : Clock::TimePoint::max());
            co_await link->wakeUp.async_wait(Asio::as_tuple(Asio::use_awaitable));
        }
    }
    close(link);
}

} // namespace Guavalock
