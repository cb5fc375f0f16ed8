#include "Peer/FrameReader.h"

#include "Flow/JsonText.h"

#include <Peer_generated.h>

#include <algorithm>
#include <array>

namespace Guavalock
{

namespace
{

constexpr auto lastEnd = static_cast<std::uint8_t>(StageAttemptOutcome::Cancelled);
constexpr auto lastCause = static_cast<std::int8_t>(RefusalCause::PipelineMissing);

std::string text(const flatbuffers::String *it)
{
    return it == nullptr ? std::string() : it->str();
}

/// Clamps a duration received from a peer to the range 0 to 1 h, so that adding it to a time point cannot overflow.
Clock::Duration boundedDuration(std::int64_t microseconds)
{
    constexpr std::int64_t maximum = std::chrono::microseconds(std::chrono::hours(1)).count();
    return std::chrono::microseconds(std::clamp<std::int64_t>(microseconds, 0, maximum));
}

const Wire::Frame *verified(FrameReader::Bytes frame)
{
    flatbuffers::Verifier verifier(frame.data(), frame.size());
    if (!verifier.VerifySizePrefixedBuffer<Wire::Frame>(nullptr)) {
        return nullptr;
    }
    return flatbuffers::GetSizePrefixedRoot<Wire::Frame>(frame.data());
}

/// Decodes one frame type and calls its handler. Returns false if a value is invalid.
using Decoder = bool (*)(const Wire::Frame &frame, Clock::TimePoint now, const FrameHandlers &handlers);

bool readHeartbeat(const Wire::Frame &frame, Clock::TimePoint, const FrameHandlers &handlers)
{
    const Wire::Heartbeat &wire = *frame.body_as_Heartbeat();
    MemberTable::Heartbeat heartbeat{wire.draining(), wire.configuration_next(), wire.pools_changed(), {}};
    if (wire.pools() != nullptr) {
        for (const flatbuffers::String *it : *wire.pools()) {
            heartbeat.pools.insert(text(it));
        }
    }
    if (handlers.heartbeat) {
        handlers.heartbeat(heartbeat);
    }
    return true;
}

bool readStageCall(const Wire::Frame &frame, Clock::TimePoint now, const FrameHandlers &handlers)
{
    const Wire::StageCall &wire = *frame.body_as_StageCall();
    Reason reason;
    std::optional<boost::json::object> input = JsonText::object(text(wire.input()), ResultCode::PeerProtocol, reason);
    if (!input) {
        return false;
    }
    StageCall call;
    call.requestId = text(wire.request_id());
    call.attemptId = text(wire.attempt_id());
    call.pool = text(wire.pool());
    call.model = text(wire.model());
    call.path = text(wire.path());
    call.idempotencyKey = text(wire.idempotency_key());
    call.idempotent = wire.idempotent();
    call.requirements.organisation = text(wire.organisation());
    call.requirements.weight = std::max<std::size_t>(1, wire.weight());
    call.requirements.affinity = wire.affinity();
    call.requirements.urgent = wire.urgent();
    call.requirements.suspect = wire.suspect();
    call.requirements.deadline = now + boundedDuration(wire.remaining_us());
    if (wire.avoid() != nullptr) {
        call.requirements.avoidedTargets.assign(wire.avoid()->begin(), wire.avoid()->end());
    }
    call.input = std::move(*input);
    call.position = wire.position();
    call.textSoFar = text(wire.text_so_far());
    if (handlers.stageCall) {
        handlers.stageCall(wire.call(), std::move(call));
    }
    return true;
}

bool readCancel(const Wire::Frame &frame, Clock::TimePoint, const FrameHandlers &handlers)
{
    if (handlers.cancel) {
        handlers.cancel(frame.body_as_Cancel()->call());
    }
    return true;
}

bool readParts(const Wire::Frame &frame, Clock::TimePoint, const FrameHandlers &handlers)
{
    const Wire::Parts &wire = *frame.body_as_Parts();
    std::vector<GeneratedToken> tokens;
    if (wire.parts() != nullptr) {
        for (const Wire::TokenPart *it : *wire.parts()) {
            tokens.push_back({it->position(), text(it->text())});
        }
    }
    if (handlers.tokens) {
        handlers.tokens(wire.call(), std::move(tokens));
    }
    return true;
}

bool readStageEnd(const Wire::Frame &frame, Clock::TimePoint, const FrameHandlers &handlers)
{
    const Wire::StageEnd &wire = *frame.body_as_StageEnd();
    Reason reason;
    std::optional<boost::json::object> output = JsonText::object(text(wire.output()), ResultCode::PeerProtocol, reason);
    if (!output || wire.end() > lastEnd || wire.cause() > lastCause) {
        return false;
    }
    AttemptResult result;
    result.outcome = static_cast<StageAttemptOutcome>(wire.end());
    if (wire.cause() >= 0) {
        result.cause = static_cast<RefusalCause>(wire.cause());
    }
    result.detail = text(wire.detail());
    result.output = std::move(*output);
    result.tokensIn = wire.tokens_in();
    result.tokensOut = wire.tokens_out();
    result.target = text(wire.target());
    result.duration = boundedDuration(wire.took_us());
    result.targetDied = wire.target_died();
    if (handlers.stageEnd) {
        handlers.stageEnd(wire.call(), std::move(result));
    }
    return true;
}

bool readDeath(const Wire::Frame &frame, Clock::TimePoint, const FrameHandlers &handlers)
{
    const Wire::Death &wire = *frame.body_as_Death();
    if (handlers.death) {
        handlers.death(wire.fingerprint(), wire.deaths());
    }
    return true;
}

bool readDeathSeen(const Wire::Frame &frame, Clock::TimePoint, const FrameHandlers &handlers)
{
    const Wire::DeathSeen &wire = *frame.body_as_DeathSeen();
    if (handlers.deathSeen) {
        handlers.deathSeen(wire.fingerprint(), wire.deaths());
    }
    return true;
}

bool readTargetStatus(const Wire::Frame &frame, Clock::TimePoint, const FrameHandlers &handlers)
{
    const Wire::TargetSign &wire = *frame.body_as_TargetSign();
    if (handlers.targetStatus) {
        handlers.targetStatus(text(wire.pool()), text(wire.target()),
                              {text(wire.incarnation()), wire.warm(), wire.running(), wire.waiting()});
    }
    return true;
}

bool readRecords(const Wire::Frame &frame, Clock::TimePoint, const FrameHandlers &handlers)
{
    const Wire::ConfigurationRecords &wire = *frame.body_as_ConfigurationRecords();
    std::vector<ConfigurationTable::OffsetRecord> records;
    if (wire.records() != nullptr) {
        for (const Wire::ConfigurationRecord *it : *wire.records()) {
            ConfigurationRecord record{text(it->id()), text(it->path()), it->expected(), std::nullopt, text(it->author())};
            if (it->value() != nullptr) {
                record.value = it->value()->str();
            }
            records.push_back({it->offset(), std::move(record)});
        }
    }
    if (handlers.records) {
        handlers.records(std::move(records), wire.from(), wire.next());
    }
    return true;
}

bool readSnapshotRequest(const Wire::Frame &, Clock::TimePoint, const FrameHandlers &handlers)
{
    if (handlers.snapshotRequest) {
        handlers.snapshotRequest();
    }
    return true;
}

bool readSnapshot(const Wire::Frame &frame, Clock::TimePoint, const FrameHandlers &handlers)
{
    const Wire::Snapshot &wire = *frame.body_as_Snapshot();
    std::map<std::string, std::string> documents;
    std::map<std::string, std::uint64_t> versions;
    if (wire.documents() != nullptr) {
        for (const Wire::Document *it : *wire.documents()) {
            documents[text(it->path())] = text(it->text());
        }
    }
    if (wire.versions() != nullptr) {
        for (const Wire::SubtreeVersion *it : *wire.versions()) {
            versions[text(it->subtree())] = it->version();
        }
    }
    if (handlers.snapshot) {
        handlers.snapshot(ConfigurationTree(std::move(documents), std::move(versions), wire.next()));
    }
    return true;
}

struct DecoderEntry {
    Wire::Body type;
    Decoder decode;
};

constexpr std::array decoders = {
    DecoderEntry{Wire::Body::Heartbeat, readHeartbeat},
    DecoderEntry{Wire::Body::StageCall, readStageCall},
    DecoderEntry{Wire::Body::Cancel, readCancel},
    DecoderEntry{Wire::Body::Parts, readParts},
    DecoderEntry{Wire::Body::StageEnd, readStageEnd},
    DecoderEntry{Wire::Body::Death, readDeath},
    DecoderEntry{Wire::Body::ConfigurationRecords, readRecords},
    DecoderEntry{Wire::Body::SnapshotRequest, readSnapshotRequest},
    DecoderEntry{Wire::Body::Snapshot, readSnapshot},
    DecoderEntry{Wire::Body::TargetSign, readTargetStatus},
    DecoderEntry{Wire::Body::DeathSeen, readDeathSeen},
};

} // namespace

std::optional<FrameBuilder::Hello> FrameReader::hello(Bytes frame)
{
    const Wire::Frame *it = verified(frame);
    const Wire::Hello *wire = it == nullptr ? nullptr : it->body_as_Hello();
    if (wire == nullptr || wire->nonce() == nullptr) {
        return std::nullopt;
    }
    return FrameBuilder::Hello{wire->version(), text(wire->vm()), text(wire->data_centre()), text(wire->incarnation()),
                               FrameBuilder::Bytes(wire->nonce()->begin(), wire->nonce()->end())};
}

std::optional<FrameBuilder::Bytes> FrameReader::proof(Bytes frame)
{
    const Wire::Frame *it = verified(frame);
    const Wire::Proof *wire = it == nullptr ? nullptr : it->body_as_Proof();
    if (wire == nullptr || wire->mac() == nullptr) {
        return std::nullopt;
    }
    return FrameBuilder::Bytes(wire->mac()->begin(), wire->mac()->end());
}

bool FrameReader::dispatch(Bytes frame, Clock::TimePoint now, const FrameHandlers &handlers)
{
    const Wire::Frame *it = verified(frame);
    if (it == nullptr) {
        return false;
    }
    for (const DecoderEntry &entry : decoders) {
        if (entry.type == it->body_type()) {
            return it->body() != nullptr && entry.decode(*it, now, handlers);
        }
    }
    // Ignore unknown frame types: a newer daemon may send types that this version does not support.
    return true;
}

} // namespace Guavalock
