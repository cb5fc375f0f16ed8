#pragma once

#include <array>
#include <cstddef>

namespace Guavalock
{

/// Kinds of frames between daemons, in the order in which a link sends them.
enum class FrameClass : unsigned char {
    Liveness, ///< Hello, heartbeats and rosters.
    Work, ///< Pieces, results and other messages about requests.
    Evidence, ///< About targets and content that crashes them.
    Records, ///< Requested records of the store. They are built when the link has nothing else to send.
};

inline constexpr std::array allFrameClasses{FrameClass::Liveness, FrameClass::Work, FrameClass::Evidence, FrameClass::Records};

/// A number of bytes for each class, indexed by FrameClass.
using BytesByClass = std::array<std::size_t, allFrameClasses.size()>;

/// Frames that have been sent, by class.
struct SentFrames {
    std::array<std::size_t, allFrameClasses.size()> frames{};
    BytesByClass bytes{};
};

/// Returns the name of a class in logs and metrics.
constexpr const char *frameClassName(FrameClass frameClass)
{
    constexpr std::array names{"liveness", "work", "evidence", "records"};
    return names[static_cast<unsigned char>(frameClass)];
}

} // namespace Guavalock
