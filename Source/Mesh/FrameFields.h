#pragma once

#include "Kernel/Clock.h"
#include "Mesh/MeshCodec.h"

#include <Mesh_generated.h>

#include <cstdint>
#include <string>
#include <vector>

namespace Guavalock
{

/// Converts the fields that all frames between daemons have in common.
class FrameFields
{
public:
    using Builder = flatbuffers::FlatBufferBuilder;

    static constexpr std::size_t firstBufferBytes = 512;

    /// Returns a frame with the given body.
    static MeshCodec::Bytes finish(Builder &builder, MeshWire::Body type, flatbuffers::Offset<void> body);

    /// Returns the time from now to a time, in microseconds.
    static std::int64_t microsecondsTo(Clock::TimePoint time, Clock::TimePoint now);

    /// Return the time that lies the given number of microseconds after or before the present, at most an hour away.
    static Clock::TimePoint timeFromNow(std::int64_t microseconds, Clock::TimePoint now);
    static Clock::TimePoint timeBefore(std::int64_t microseconds, Clock::TimePoint now);

    /// Returns a string, or an empty one if it is absent.
    static std::string text(const flatbuffers::String *it);
    static std::vector<std::string> texts(const flatbuffers::Vector<flatbuffers::Offset<flatbuffers::String>> *list);
};

} // namespace Guavalock
