#pragma once

#include "Kernel/Clock.h"
#include "Mesh/LinkBudget.h"
#include "Mesh/LinkQueue.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <vector>

namespace Guavalock
{

/// The queues of all links of a daemon within one budget. Decides which links are dropped, so that receivers that don't read cannot use up
/// the memory of the daemon, and shares the updates that several receivers request.
class LinkQueues
{
public:
    using LinkId = std::uint64_t;

    enum class DropReason : unsigned char {
        Stalled, ///< The receiver has accepted nothing for LinkQueue::stallTime.
        Share, ///< The link needs more than its share of the budget.
        Budget, ///< The budget was short, and this link had the most queued bytes.
    };

    struct Drop {
        LinkId link = 0;
        DropReason reason = DropReason::Stalled;
        BytesByClass queued{};
    };

    /// Receivers that request the same update within this time get the same frame.
    static constexpr std::chrono::milliseconds updateLifetime{50};

    explicit LinkQueues(std::size_t budgetBytes);

    LinkId add();
    void remove(LinkId link);

    /// Queues a frame. May drop links, also this one. Frames for unknown links are ignored.
    void push(LinkId link, FrameClass frameClass, SharedFrame frame, LinkQueue::Slot slot, Clock::TimePoint now);

    void requestRecords(LinkId link, const RecordWant &want);
    void requestSnapshot(LinkId link);

    /// Returns what a link does next, or nothing if it has been dropped.
    LinkTurn next(LinkId link, Clock::TimePoint now);

    /// Returns the update that has been built for this request within updateLifetime, or null.
    SharedFrame findUpdate(const RecordWant &want, Clock::TimePoint now);

    /// Queues an update for a link and keeps it for others. If there is no room, the request is recorded again unless there is a newer one.
    void offerUpdate(LinkId link, const RecordWant &want, const SharedFrame &frame, Clock::TimePoint now);

    void accept(LinkId link, Clock::TimePoint now);
    SentFrames finish(LinkId link);

    /// Drops the links whose receivers have accepted nothing for too long.
    void dropStalled(Clock::TimePoint now);

    /// Returns the links that have been dropped since the last call.
    std::vector<Drop> takeDrops();

    std::size_t usedBytes() const;

    /// Returns the queued bytes of all links. A frame that is shared counts for each link.
    BytesByClass bytesByClass() const;

private:
    struct Update {
        RecordWant want;
        SharedFrame frame;
        Clock::TimePoint built;
    };

    /// A link whose update has no room.
    struct Blocked {
        Clock::TimePoint since;
        Clock::TimePoint lastAsked;
    };

    LinkQueue *find(LinkId link);
    void drop(LinkId link, DropReason reason);
    void enforceBudget();
    void forgetUpdates(Clock::TimePoint builtUntil);
    bool mayBuild(LinkId link, const RecordWant &want, Clock::TimePoint now) const;

    LinkBudget m_budget;
    std::map<LinkId, std::unique_ptr<LinkQueue>> m_queues;
    LinkId m_lastLink = 0;
    std::map<LinkId, Blocked> m_blocked; ///< The one that has waited for the longest is served first.
    std::vector<Update> m_updates; ///< Built within updateLifetime.
    std::array<std::size_t, allTopics.size()> m_updateBytes{}; ///< By topic: size of the last update, so that none is built in vain.
    std::vector<Drop> m_drops;
};

} // namespace Guavalock
