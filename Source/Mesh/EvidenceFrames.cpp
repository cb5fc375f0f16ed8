#include "Mesh/EvidenceFrames.h"

#include "Mesh/FrameFields.h"

namespace Guavalock
{

MeshCodec::Bytes EvidenceFrames::encode(const Evidence &evidence, Clock::TimePoint now)
{
    FrameFields::Builder builder(FrameFields::firstBufferBytes);
    std::vector<flatbuffers::Offset<MeshWire::Crash>> crashes;
    for (const CrashReport &it : evidence.content.crashes) {
        crashes.push_back(MeshWire::CreateCrashDirect(builder, it.address.c_str(), FrameFields::microsecondsTo(now, it.at), &it.contents,
                                                      it.startTime.count(), it.repetition));
    }
    std::vector<flatbuffers::Offset<MeshWire::ContentResponse>> responses;
    for (const ContentEvidence::Response &it : evidence.content.responses) {
        responses.push_back(MeshWire::CreateContentResponse(builder, it.content, FrameFields::microsecondsTo(now, it.at)));
    }
    std::vector<flatbuffers::Offset<MeshWire::Quarantine>> quarantines;
    for (const ContentEvidence::Quarantine &it : evidence.content.quarantines) {
        quarantines.push_back(MeshWire::CreateQuarantine(builder, it.content, FrameFields::microsecondsTo(now, it.lastCrash),
                                                         FrameFields::microsecondsTo(it.end, now), it.count));
    }
    std::vector<flatbuffers::Offset<MeshWire::TargetLimit>> limits;
    for (const LimitReport &it : evidence.limits) {
        limits.push_back(MeshWire::CreateTargetLimitDirect(builder, it.target.c_str(), it.startTime.count(), it.requestsPerSecond,
                                                           FrameFields::microsecondsTo(now, it.statedAt)));
    }
    const auto body = MeshWire::CreateEvidenceDirect(builder, &crashes, &responses, &quarantines, &limits, evidence.origin.vm.c_str(),
                                                     evidence.origin.incarnation.c_str(), evidence.origin.number);
    return FrameFields::finish(builder, MeshWire::Body::Evidence, body.Union());
}

bool EvidenceFrames::decode(const MeshWire::Frame &frame, Clock::TimePoint now, const MeshHandlers &handlers)
{
    const MeshWire::Evidence &wire = *frame.body_as_Evidence();
    Evidence evidence;
    if (wire.crashes() != nullptr) {
        for (const MeshWire::Crash *it : *wire.crashes()) {
            CrashReport crash{FrameFields::text(it->address()),
                              FrameFields::timeBefore(it->age_us(), now),
                              {},
                              std::chrono::milliseconds(it->start_ms()),
                              it->repetition()};
            if (it->contents() != nullptr) {
                crash.contents.assign(it->contents()->begin(), it->contents()->end());
            }
            evidence.content.crashes.push_back(std::move(crash));
        }
    }
    if (wire.responses() != nullptr) {
        for (const MeshWire::ContentResponse *it : *wire.responses()) {
            evidence.content.responses.push_back({it->content(), FrameFields::timeBefore(it->age_us(), now)});
        }
    }
    if (wire.quarantines() != nullptr) {
        for (const MeshWire::Quarantine *it : *wire.quarantines()) {
            evidence.content.quarantines.push_back(
                {it->content(), FrameFields::timeBefore(it->age_us(), now), FrameFields::timeFromNow(it->left_us(), now), it->count()});
        }
    }
    if (wire.limits() != nullptr) {
        for (const MeshWire::TargetLimit *it : *wire.limits()) {
            const double limit = it->requests_per_s();
            if (!(limit >= 0)) {
                return false;
            }
            evidence.limits.push_back({FrameFields::text(it->target()), std::chrono::milliseconds(it->start_ms()), limit,
                                       FrameFields::timeBefore(it->age_us(), now)});
        }
    }
    evidence.origin = {FrameFields::text(wire.origin()), FrameFields::text(wire.incarnation()), wire.number()};
    if (handlers.evidence) {
        handlers.evidence(std::move(evidence));
    }
    return true;
}

} // namespace Guavalock
