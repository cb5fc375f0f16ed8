#pragma once

#include "Kernel/Clock.h"
#include "Mesh/MeshHandlers.h"

#include <cstdint>
#include <vector>

namespace Guavalock
{

/// Encodes and decodes the frames exchanged by daemons. Times are sent relative to the present, so clocks need not be synchronised.
class MeshCodec
{
public:
    using Bytes = std::vector<std::uint8_t>;

    static Bytes hello(const MemberRecord &self);
    static Bytes heartbeat(bool draining);
    static Bytes pieces(const std::vector<Piece> &pieces, Clock::TimePoint now);
    static Bytes results(const std::vector<PieceResult> &results, const std::vector<ServiceBacklog> &backlogs, Clock::TimePoint now);
    static Bytes cancel(const std::string &requestId);
    static Bytes release(const std::vector<std::string> &handles);
    static Bytes recordsRequest(Topic topic, RecordPosition from);
    static Bytes records(const RecordUpdate &update, Clock::TimePoint now);
    static Bytes roster(const Roster &roster);

    /// Returns a frame that contains the given one in compressed form, or the given one if that would not save anything.
    static Bytes compressed(const Bytes &frame);

    /// Decodes a frame and calls its handler. Returns false if the bytes are not a valid frame.
    static bool decode(const Bytes &frame, Clock::TimePoint now, const MeshHandlers &handlers);
};

} // namespace Guavalock
