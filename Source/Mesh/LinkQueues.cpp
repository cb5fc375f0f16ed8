#include "Mesh/LinkQueues.h"

#include <algorithm>
#include <utility>

namespace Guavalock
{

namespace
{

/// A link that is blocked asks again within this time, unless it has got something else to send.
constexpr std::chrono::milliseconds blockedTime{100};

} // namespace

LinkQueues::LinkQueues(std::size_t budgetBytes)
    : m_budget(budgetBytes)
{
}

LinkQueues::LinkId LinkQueues::add()
{
    m_queues[++m_lastLink] = std::make_unique<LinkQueue>(m_budget);
    return m_lastLink;
}

void LinkQueues::remove(LinkId link)
{
    m_queues.erase(link);
    m_blocked.erase(link);
}

LinkQueue *LinkQueues::find(LinkId link)
{
    const auto it = m_queues.find(link);
    return it == m_queues.end() ? nullptr : it->second.get();
}

void LinkQueues::drop(LinkId link, DropReason reason)
{
    m_drops.push_back({link, reason, m_queues.at(link)->bytesByClass()});
    remove(link);
}

void LinkQueues::push(LinkId link, FrameClass frameClass, SharedFrame frame, LinkQueue::Slot slot, Clock::TimePoint now)
{
    LinkQueue *queue = find(link);
    if (queue == nullptr) {
        return;
    }
    queue->push(frameClass, std::move(frame), slot, now);
    if (queue->exceedsShare()) {
        drop(link, DropReason::Share);
    }
    enforceBudget();
}

void LinkQueues::enforceBudget()
{
    if (m_budget.isExceeded()) {
        forgetUpdates(Clock::TimePoint::max());
    }
    while (m_budget.isExceeded()) {
        const auto most = std::ranges::max_element(m_queues, {}, [](const auto &it) { return it.second->bytes(); });
        drop(most->first, DropReason::Budget);
    }
}

void LinkQueues::requestRecords(LinkId link, const RecordWant &want)
{
    if (LinkQueue *queue = find(link)) {
        queue->requestRecords(want);
    }
}

void LinkQueues::requestSnapshot(LinkId link)
{
    if (LinkQueue *queue = find(link)) {
        queue->requestSnapshot();
    }
}

LinkTurn LinkQueues::next(LinkId link, Clock::TimePoint now)
{
    forgetUpdates(now - updateLifetime);
    LinkQueue *queue = find(link);
    if (queue == nullptr) {
        return {};
    }
    LinkTurn turn = queue->next([&](const RecordWant &it) { return mayBuild(link, it, now); });
    if (turn.isBlocked) {
        m_blocked.try_emplace(link, Blocked{now, now}).first->second.lastAsked = now;
    } else {
        m_blocked.erase(link);
    }
    return turn;
}

bool LinkQueues::mayBuild(LinkId link, const RecordWant &want, Clock::TimePoint now) const
{
    const auto own = m_blocked.find(link);
    const Clock::TimePoint since = own == m_blocked.end() ? now : own->second.since;
    const auto hasPrecedence = [&](const auto &it) {
        return it.second.since < since && now - it.second.lastAsked < blockedTime;
    };
    const bool isBuilt = std::ranges::find(m_updates, want, &Update::want) != m_updates.end();
    return isBuilt
        || (std::ranges::none_of(m_blocked, hasPrecedence)
            && m_budget.hasRoomForRecords(m_updateBytes.at(static_cast<std::size_t>(want.topic))));
}

SharedFrame LinkQueues::findUpdate(const RecordWant &want, Clock::TimePoint now)
{
    forgetUpdates(now - updateLifetime);
    const auto it = std::ranges::find(m_updates, want, &Update::want);
    return it == m_updates.end() ? nullptr : it->frame;
}

void LinkQueues::offerUpdate(LinkId link, const RecordWant &want, const SharedFrame &frame, Clock::TimePoint now)
{
    m_updateBytes.at(static_cast<std::size_t>(want.topic)) = frame->size();
    const bool isHeld = std::ranges::any_of(m_updates, [&](const Update &it) { return it.frame == frame; });
    if (!isHeld && !m_budget.hasRoomForRecords(frame->size())) {
        if (LinkQueue *queue = find(link)) {
            queue->restoreRequest(want);
        }
        return;
    }
    if (!isHeld) {
        m_budget.add(frame);
        m_updates.push_back({want, frame, now});
    }
    push(link, FrameClass::Records, frame, LinkQueue::Slot::None, now);
}

void LinkQueues::forgetUpdates(Clock::TimePoint builtUntil)
{
    std::erase_if(m_updates, [&](const Update &it) {
        if (it.built > builtUntil) {
            return false;
        }
        m_budget.remove(it.frame);
        return true;
    });
}

void LinkQueues::accept(LinkId link, Clock::TimePoint now)
{
    if (LinkQueue *queue = find(link)) {
        queue->accept(now);
    }
}

SentFrames LinkQueues::finish(LinkId link)
{
    LinkQueue *queue = find(link);
    return queue == nullptr ? SentFrames() : queue->finish();
}

void LinkQueues::dropStalled(Clock::TimePoint now)
{
    forgetUpdates(now - updateLifetime);
    std::vector<LinkId> stalled;
    for (const auto &[link, queue] : m_queues) {
        if (queue->isStalled(now)) {
            stalled.push_back(link);
        }
    }
    for (const LinkId it : stalled) {
        drop(it, DropReason::Stalled);
    }
}

std::vector<LinkQueues::Drop> LinkQueues::takeDrops()
{
    return std::exchange(m_drops, {});
}

std::size_t LinkQueues::usedBytes() const
{
    return m_budget.used();
}

BytesByClass LinkQueues::bytesByClass() const
{
    BytesByClass total{};
    for (const auto &[link, queue] : m_queues) {
        const BytesByClass bytes = queue->bytesByClass();
        for (std::size_t it = 0; it < total.size(); ++it) {
            total.at(it) += bytes.at(it);
        }
    }
    return total;
}

} // namespace Guavalock
