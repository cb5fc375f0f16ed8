#include "Mesh/FrameFields.h"

#include <algorithm>

namespace Guavalock
{

namespace
{

constexpr std::chrono::hours maxRelativeTime{1}; ///< Limit of relative times received from a peer, which prevents arithmetic overflow.

} // namespace

MeshCodec::Bytes FrameFields::finish(Builder &builder, MeshWire::Body type, flatbuffers::Offset<void> body)
{
    builder.FinishSizePrefixed(MeshWire::CreateFrame(builder, type, body));
    return {builder.GetBufferPointer(), builder.GetBufferPointer() + builder.GetSize()};
}

std::int64_t FrameFields::microsecondsTo(Clock::TimePoint time, Clock::TimePoint now)
{
    return std::chrono::duration_cast<std::chrono::microseconds>(time - now).count();
}

Clock::TimePoint FrameFields::timeFromNow(std::int64_t microseconds, Clock::TimePoint now)
{
    constexpr std::int64_t longest = std::chrono::microseconds(maxRelativeTime).count();
    return now + std::chrono::microseconds(std::clamp<std::int64_t>(microseconds, -longest, longest));
}

Clock::TimePoint FrameFields::timeBefore(std::int64_t microseconds, Clock::TimePoint now)
{
    return now - (timeFromNow(microseconds, now) - now);
}

std::string FrameFields::text(const flatbuffers::String *it)
{
    return it == nullptr ? std::string() : it->str();
}

std::vector<std::string> FrameFields::texts(const flatbuffers::Vector<flatbuffers::Offset<flatbuffers::String>> *list)
{
    std::vector<std::string> found;
    if (list != nullptr) {
        for (const flatbuffers::String *it : *list) {
            found.push_back(text(it));
        }
    }
    return found;
}

} // namespace Guavalock
