#include "Mesh/RolloutFrames.h"

#include "Mesh/FrameFields.h"

#include <algorithm>

namespace Guavalock
{

namespace
{

using Builder = FrameFields::Builder;

constexpr auto lastPhase = static_cast<std::uint8_t>(RolloutState::Phase::RolledBack);

/// Empty buckets at the end are not sent: in a large fleet, one daemon receives these frames from all others.
std::vector<std::uint32_t> encodeHistogram(const VersionCounts::Histogram &histogram)
{
    std::vector<std::uint32_t> list(histogram.begin(), histogram.end());
    while (!list.empty() && list.back() == 0) {
        list.pop_back();
    }
    return list;
}

flatbuffers::Offset<MeshWire::RolloutCounts> encodeCounts(Builder &builder, const std::string &route, bool isNew,
                                                          const VersionCounts &counts)
{
    const auto times = builder.CreateVector(encodeHistogram(counts.times));
    const auto unfinished = builder.CreateVector(encodeHistogram(counts.unfinished));
    const auto name = builder.CreateString(route);
    return MeshWire::CreateRolloutCounts(builder, name, isNew, counts.attempts, counts.failures, counts.crashes, times, unfinished);
}

VersionCounts::Histogram decodeHistogram(const flatbuffers::Vector<std::uint32_t> *list)
{
    VersionCounts::Histogram histogram{};
    if (list != nullptr) {
        std::copy_n(list->begin(), std::min<std::size_t>(list->size(), histogram.size()), histogram.begin());
    }
    return histogram;
}

} // namespace

MeshCodec::Bytes RolloutFrames::evidence(const RolloutEvidence &evidence, Clock::TimePoint now)
{
    Builder builder(FrameFields::firstBufferBytes);
    std::vector<flatbuffers::Offset<MeshWire::RolloutCounts>> counts;
    for (const auto &[route, it] : evidence.routes) {
        counts.push_back(encodeCounts(builder, route, true, it.newVersion));
        counts.push_back(encodeCounts(builder, route, false, it.otherVersions));
    }
    const auto body = MeshWire::CreateRolloutEvidenceDirect(builder, evidence.vm.c_str(), evidence.incarnation.c_str(), evidence.sequence,
                                                            evidence.service.c_str(), evidence.version.c_str(),
                                                            FrameFields::microsecondsTo(now, evidence.orderStart), evidence.inProgressNew,
                                                            evidence.inProgressOther, &counts, evidence.forwarded);
    return FrameFields::finish(builder, MeshWire::Body::RolloutEvidence, body.Union());
}

MeshCodec::Bytes RolloutFrames::state(const RolloutState &state, Clock::TimePoint now)
{
    Builder builder(FrameFields::firstBufferBytes);
    const auto body = MeshWire::CreateRolloutStateDirect(builder, state.service.c_str(), state.version.c_str(), state.coordinator.c_str(),
                                                         state.number, static_cast<std::uint8_t>(state.phase), state.share,
                                                         FrameFields::microsecondsTo(now, state.orderStart));
    return FrameFields::finish(builder, MeshWire::Body::RolloutState, body.Union());
}

bool RolloutFrames::decodeEvidence(const MeshWire::Frame &frame, Clock::TimePoint now, const MeshHandlers &handlers)
{
    const MeshWire::RolloutEvidence &wire = *frame.body_as_RolloutEvidence();
    RolloutEvidence evidence;
    evidence.vm = FrameFields::text(wire.vm());
    evidence.incarnation = FrameFields::text(wire.incarnation());
    evidence.sequence = wire.sequence();
    evidence.service = FrameFields::text(wire.service());
    evidence.version = FrameFields::text(wire.version());
    evidence.orderStart = std::min(FrameFields::timeBefore(wire.order_age_us(), now), now);
    evidence.inProgressNew = wire.in_progress_new();
    evidence.inProgressOther = wire.in_progress_other();
    evidence.forwarded = wire.forwarded();
    if (wire.counts() != nullptr) {
        for (const MeshWire::RolloutCounts *it : *wire.counts()) {
            RouteCounts &route = evidence.routes[FrameFields::text(it->route())];
            VersionCounts &counts = it->is_new() ? route.newVersion : route.otherVersions;
            counts.attempts = it->attempts();
            counts.failures = it->failures();
            counts.crashes = it->crashes();
            counts.times = decodeHistogram(it->times());
            counts.unfinished = decodeHistogram(it->unfinished());
        }
    }
    if (handlers.rolloutEvidence) {
        handlers.rolloutEvidence(std::move(evidence));
    }
    return true;
}

bool RolloutFrames::decodeState(const MeshWire::Frame &frame, Clock::TimePoint now, const MeshHandlers &handlers)
{
    const MeshWire::RolloutState &wire = *frame.body_as_RolloutState();
    if (wire.phase() > lastPhase || !(wire.share() >= 0 && wire.share() <= 1)) {
        return false;
    }
    if (handlers.rolloutState) {
        handlers.rolloutState({FrameFields::text(wire.service()), FrameFields::text(wire.version()), FrameFields::text(wire.coordinator()),
                               wire.number(), static_cast<RolloutState::Phase>(wire.phase()), wire.share(),
                               std::min(FrameFields::timeBefore(wire.order_age_us(), now), now)});
    }
    return true;
}

} // namespace Guavalock
