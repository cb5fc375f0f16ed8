#pragma once

#include "Peer/SharedFrame.h"

#include <cstddef>
#include <map>

namespace Guavalock
{

/// The memory that all links of a daemon use together for frames that wait or are being written. A frame that several links share counts
/// once. A frame that is larger than the share of a link counts as much as that share, because a single frame is always allowed.
class LinkBudget
{
public:
    static constexpr std::size_t minBytes = 4 * 1024 * 1024;
    static constexpr std::size_t defaultBytes = 16 * 1024 * 1024; ///< If the memory of the process is not known.

    /// Returns the budget of a process with the given memory in bytes, or zero if it is not known.
    static std::size_t bytesFor(std::size_t memoryBytes);

    explicit LinkBudget(std::size_t bytes);

    void add(const SharedFrame &frame);
    void remove(const SharedFrame &frame);

    /// Returns the most that one link may use.
    std::size_t share() const;

    std::size_t used() const;
    bool isExceeded() const;

    /// Returns whether an update of records with this size may be queued. Updates can wait, so they leave room for other frames. Of those
    /// larger than the share there is only one at a time.
    bool hasRoomForRecords(std::size_t bytes) const;

private:
    std::size_t charge(std::size_t bytes) const;

    std::size_t m_bytes;
    std::size_t m_used = 0;
    std::size_t m_oversized = 0; ///< Number of frames larger than the share.
    std::map<SharedFrame, std::size_t> m_frames; ///< With the number of holders.
};

} // namespace Guavalock
