#pragma once

#include "Kernel/Clock.h"
#include "Mesh/MeshCodec.h"

namespace Guavalock
{

namespace MeshWire
{
struct Frame;
}

/// Encodes and decodes frames of evidence about targets and about content that crashes them.
class EvidenceFrames
{
public:
    static MeshCodec::Bytes encode(const Evidence &evidence, Clock::TimePoint now);

    /// Decodes a frame and calls its handler. Returns false if a value is out of range.
    static bool decode(const MeshWire::Frame &frame, Clock::TimePoint now, const MeshHandlers &handlers);
};

} // namespace Guavalock
