#include "Mesh/LinkQueue.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace Guavalock
{

LinkQueue::LinkQueue(LinkBudget &budget)
    : m_budget(budget)
{
}

LinkQueue::~LinkQueue()
{
    for (const Entries &entries : m_waiting) {
        std::ranges::for_each(entries, [this](const Entry &it) { m_budget.remove(it.frame); });
    }
    std::ranges::for_each(m_writing, [this](const Entry &it) { m_budget.remove(it.frame); });
}

LinkQueue::Entries &LinkQueue::waiting(FrameClass frameClass)
{
    return m_waiting.at(static_cast<std::size_t>(frameClass));
}

std::size_t &LinkQueue::bytesOf(FrameClass frameClass)
{
    return m_bytes.at(static_cast<std::size_t>(frameClass));
}

void LinkQueue::forget(const Entry &entry)
{
    bytesOf(entry.frameClass) -= entry.frame->size();
    m_budget.remove(entry.frame);
}

void LinkQueue::push(FrameClass frameClass, SharedFrame frame, Slot slot, Clock::TimePoint now)
{
    if (bytes() == 0) {
        m_lastProgress = now;
    }
    Entries &entries = waiting(frameClass);
    bytesOf(frameClass) += frame->size();
    m_budget.add(frame);
    m_waitingEvidence += frameClass == FrameClass::Evidence ? frame->size() : 0;
    const auto older = slot == Slot::None ? entries.end() : std::ranges::find(entries, slot, &Entry::slot);
    if (older == entries.end()) {
        entries.push_back({frameClass, std::move(frame), slot});
    } else {
        forget(*older);
        older->frame = std::move(frame);
    }
    limitEvidence();
}

void LinkQueue::limitEvidence()
{
    Entries &entries = waiting(FrameClass::Evidence);
    while (m_waitingEvidence > maxEvidenceBytes && entries.size() > 1) {
        m_waitingEvidence -= entries.front().frame->size();
        forget(entries.front());
        entries.pop_front();
        m_snapshot = true;
    }
}

void LinkQueue::requestRecords(const RecordWant &want)
{
    m_wants.at(static_cast<std::size_t>(want.topic)) = want;
}

void LinkQueue::restoreRequest(const RecordWant &want)
{
    std::optional<RecordWant> &newer = m_wants.at(static_cast<std::size_t>(want.topic));
    newer = newer.value_or(want);
}

void LinkQueue::requestSnapshot()
{
    m_snapshot = true;
}

LinkTurn LinkQueue::next(const std::function<bool(const RecordWant &)> &mayBuild)
{
    LinkTurn turn;
    if (!m_writing.empty()) {
        return turn;
    }
    takeFrames(turn);
    if (!turn.frames.empty()) {
        return turn;
    }
    turn.snapshot = std::exchange(m_snapshot, false);
    if (!turn.snapshot) {
        turn.records = takeWant(mayBuild);
        turn.isBlocked = !turn.records && std::ranges::any_of(m_wants, [](const auto &it) { return it.has_value(); });
    }
    return turn;
}

void LinkQueue::takeFrames(LinkTurn &turn)
{
    std::size_t n = 0;
    for (Entries &entries : m_waiting) {
        while (!entries.empty() && (n == 0 || n + entries.front().frame->size() <= maxTurnBytes)) {
            Entry &entry = entries.front();
            n += entry.frame->size();
            m_waitingEvidence -= entry.frameClass == FrameClass::Evidence ? entry.frame->size() : 0;
            turn.frames.push_back(entry.frame);
            m_writing.push_back(std::move(entry));
            entries.pop_front();
        }
        if (!entries.empty()) {
            return;
        }
    }
}

std::optional<RecordWant> LinkQueue::takeWant(const std::function<bool(const RecordWant &)> &mayBuild)
{
    for (std::size_t it = 0; it < allTopics.size(); ++it) {
        const std::size_t index = (m_nextTopic + it) % allTopics.size();
        std::optional<RecordWant> &want = m_wants.at(index);
        if (want && mayBuild(*want)) {
            m_nextTopic = index + 1;
            return std::exchange(want, std::nullopt);
        }
    }
    return std::nullopt;
}

void LinkQueue::accept(Clock::TimePoint now)
{
    m_lastProgress = now;
}

SentFrames LinkQueue::finish()
{
    SentFrames sent;
    for (const Entry &it : m_writing) {
        ++sent.frames.at(static_cast<std::size_t>(it.frameClass));
        sent.bytes.at(static_cast<std::size_t>(it.frameClass)) += it.frame->size();
        forget(it);
    }
    m_writing.clear();
    return sent;
}

std::size_t LinkQueue::bytes() const
{
    return std::accumulate(m_bytes.begin(), m_bytes.end(), std::size_t{0});
}

BytesByClass LinkQueue::bytesByClass() const
{
    return m_bytes;
}

bool LinkQueue::exceedsShare() const
{
    const std::size_t share = m_budget.share();
    if (bytes() <= share) {
        return false;
    }
    std::size_t largest = 0;
    const auto consider = [&](const Entry &it) {
        largest = std::max(largest, it.frame->size());
    };
    for (const Entries &entries : m_waiting) {
        std::ranges::for_each(entries, consider);
    }
    std::ranges::for_each(m_writing, consider);
    return largest <= share || bytes() - largest > share;
}

bool LinkQueue::isStalled(Clock::TimePoint now) const
{
    return bytes() > 0 && now - m_lastProgress >= stallTime;
}

} // namespace Guavalock
