#pragma once

#include "Kernel/Clock.h"
#include "Mesh/MeshCodec.h"

namespace Guavalock
{

namespace MeshWire
{
struct Frame;
}

/// Encodes and decodes the frames of rollouts.
class RolloutFrames
{
public:
    static MeshCodec::Bytes evidence(const RolloutEvidence &evidence, Clock::TimePoint now);
    static MeshCodec::Bytes state(const RolloutState &state, Clock::TimePoint now);

    /// Decode a frame and call its handler. Return false if a value is out of range.
    static bool decodeEvidence(const MeshWire::Frame &frame, Clock::TimePoint now, const MeshHandlers &handlers);
    static bool decodeState(const MeshWire::Frame &frame, Clock::TimePoint now, const MeshHandlers &handlers);
};

} // namespace Guavalock
