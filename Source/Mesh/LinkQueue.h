#pragma once

#include "Kernel/Clock.h"
#include "Mesh/FrameClass.h"
#include "Mesh/LinkBudget.h"
#include "Mesh/LinkTurn.h"

#include <array>
#include <cstddef>
#include <deque>
#include <functional>
#include <optional>
#include <vector>

namespace Guavalock
{

/// Decides what one link sends, and in which order. Answers to links whose receiver is slower than the frames for it arise.
///
/// Frames are sent by class, and within a class in the order in which they were queued. Responses to requests for records are not queued:
/// the last position that the receiver has requested is recorded for each topic, and the update is built when nothing else is to be sent.
/// So there is at most one update for a receiver at a time, however often it repeats its request.
class LinkQueue
{
public:
    /// Of two queued frames with the same slot, only the newer one is sent.
    enum class Slot : unsigned char {
        None,
        Heartbeat,
        Roster,
        OperatorRequest, ///< For records of the topic; the others follow in the order of Topic.
        TargetsRequest,
        MembersRequest,
    };

    static constexpr std::size_t maxEvidenceBytes = 64 * 1024; ///< Beyond this the oldest frames are replaced by a snapshot.
    static constexpr std::size_t maxTurnBytes = 64 * 1024; ///< Frames up to this size are written together.
    static constexpr std::chrono::seconds stallTime{3}; ///< In which a receiver that works accepts at least one byte.

    explicit LinkQueue(LinkBudget &budget);
    ~LinkQueue();
    LinkQueue(const LinkQueue &) = delete;
    LinkQueue &operator=(const LinkQueue &) = delete;

    void push(FrameClass frameClass, SharedFrame frame, Slot slot, Clock::TimePoint now);

    /// Records a request of the receiver in place of its previous one for the topic.
    void requestRecords(const RecordWant &want);

    /// Records again a request whose update could not be queued, unless the receiver has sent a newer one.
    void restoreRequest(const RecordWant &want);

    void requestSnapshot();

    /// Returns what to do next; nothing while frames are being written. `mayBuild` tells whether there is room for an update.
    LinkTurn next(const std::function<bool(const RecordWant &)> &mayBuild);

    /// The receiver has accepted bytes of the frames that are being written.
    void accept(Clock::TimePoint now);

    /// All frames that were being written have been accepted. Returns them.
    SentFrames finish();

    std::size_t bytes() const;
    BytesByClass bytesByClass() const;

    /// Returns whether the frames use more than a link's share of the budget, apart from a single larger one.
    bool exceedsShare() const;

    /// Returns whether the receiver has not accepted a byte for `stallTime` while there was something to accept.
    bool isStalled(Clock::TimePoint now) const;

private:
    struct Entry {
        FrameClass frameClass;
        SharedFrame frame;
        Slot slot;
    };

    using Entries = std::deque<Entry>;

    Entries &waiting(FrameClass frameClass);
    std::size_t &bytesOf(FrameClass frameClass);
    void forget(const Entry &entry);
    void limitEvidence();
    void takeFrames(LinkTurn &turn);
    std::optional<RecordWant> takeWant(const std::function<bool(const RecordWant &)> &mayBuild);

    LinkBudget &m_budget;
    std::array<Entries, allFrameClasses.size()> m_waiting; ///< By class.
    std::vector<Entry> m_writing;
    BytesByClass m_bytes{}; ///< Of frames that wait or are being written.
    std::size_t m_waitingEvidence = 0; ///< Bytes.
    std::array<std::optional<RecordWant>, allTopics.size()> m_wants; ///< By topic.
    std::size_t m_nextTopic = 0; ///< Topics take turns.
    bool m_snapshot = false;
    Clock::TimePoint m_lastProgress;
};

} // namespace Guavalock
