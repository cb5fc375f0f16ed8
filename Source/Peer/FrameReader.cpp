#include "Peer/FrameReader.h"

#include "Flow/JsonText.h"

#include <Peer_generated.h>

#include <algorithm>
#include <array>

namespace Guavalock
{

namespace
{

constexpr auto lastEnd = static_cast<std::uint8_t>(AttemptEnd::Cancelled);
constexpr auto lastCause = static_cast<std::int8_t>(RefusalCause::PipelineMissing);

std::string text(const flatbuffers::String *it)
{
    return it == nullptr ? std::string() : it->str();
}

/// Returns a duration that a peer sent, kept within what arithmetic on time points can bear.
Clock::Duration boundedDuration(std::int64_t microseconds)
{
    constexpr std::int64_t longest = std::chrono::microseconds(std::chrono::hours(1)).count();
    return std::chrono::microseconds(std::clamp<std::int64_t>(microseconds, 0, longest));
}

const Wire::Frame *verified(FrameReader::Bytes frame)
{
    flatbuffers::Verifier verifier(frame.data(), frame.size());
    if (!verifier.VerifySizePrefixedBuffer<Wire::Frame>(nullptr)) {
        return nullptr;
    }
    return flatbuffers::GetSizePrefixedRoot<Wire::Frame>(frame.data());
}

/// Decodes one kind of frame and calls its handler; false when a value is out of range.
using Decoder = bool (*)(const Wire::Frame &frame, Clock::TimePoint now, const FrameHandlers &handlers);

bool readHeartbeat(const Wire::Frame &frame, Clock::TimePoint, const FrameHandlers &handlers)
{
    const Wire::Heartbeat &wire = *frame.body_as_Heartbeat();
    MemberTable::Heard heard{wire.draining(), wire.configuration_next(), wire.pools_changed(), {}};
    if (wire.pools() != nullptr) {
        for (const flatbuffers::String *it : *wire.pools()) {
            heard.pools.insert(text(it));
        }
    }
    if (handlers.heartbeat) {
        handlers.heartbeat(heard);
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
    call.demand.organisation = text(wire.organisation());
    call.demand.weight = std::max<std::size_t>(1, wire.weight());
    call.demand.affinity = wire.affinity();
    call.demand.urgent = wire.urgent();
    call.demand.suspect = wire.suspect();
    call.demand.deadline = now + boundedDuration(wire.remaining_us());
    if (wire.avoid() != nullptr) {
        call.demand.avoid.assign(wire.avoid()->begin(), wire.avoid()->end());
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
    std::vector<Part> parts;
    if (wire.parts() != nullptr) {
        for (const Wire::TokenPart *it : *wire.parts()) {
            parts.push_back({it->position(), text(it->text())});
        }
    }
    if (handlers.parts) {
        handlers.parts(wire.call(), std::move(parts));
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
    result.end = static_cast<AttemptEnd>(wire.end());
    if (wire.cause() >= 0) {
        result.cause = static_cast<RefusalCause>(wire.cause());
    }
    result.detail = text(wire.detail());
    result.output = std::move(*output);
    result.tokensIn = wire.tokens_in();
    result.tokensOut = wire.tokens_out();
    result.target = text(wire.target());
    result.took = boundedDuration(wire.took_us());
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

bool readTargetSign(const Wire::Frame &frame, Clock::TimePoint, const FrameHandlers &handlers)
{
    const Wire::TargetSign &wire = *frame.body_as_TargetSign();
    if (handlers.targetSign) {
        handlers.targetSign(text(wire.pool()), text(wire.target()),
                            {text(wire.incarnation()), wire.warm(), wire.running(), wire.waiting()});
    }
    return true;
}

bool readRecords(const Wire::Frame &frame, Clock::TimePoint, const FrameHandlers &handlers)
{
    const Wire::ConfigurationRecords &wire = *frame.body_as_ConfigurationRecords();
    std::vector<ConfigurationTable::Stamped> records;
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

struct Row {
    Wire::Body type;
    Decoder decode;
};

constexpr std::array decoders = {
    Row{Wire::Body::Heartbeat, readHeartbeat},
    Row{Wire::Body::StageCall, readStageCall},
    Row{Wire::Body::Cancel, readCancel},
    Row{Wire::Body::Parts, readParts},
    Row{Wire::Body::StageEnd, readStageEnd},
    Row{Wire::Body::Death, readDeath},
    Row{Wire::Body::ConfigurationRecords, readRecords},
    Row{Wire::Body::SnapshotRequest, readSnapshotRequest},
    Row{Wire::Body::Snapshot, readSnapshot},
    Row{Wire::Body::TargetSign, readTargetSign},
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
    for (const Row &row : decoders) {
        if (row.type == it->body_type()) {
            return it->body() != nullptr && row.decode(*it, now, handlers);
        }
    }
    // A newer daemon may send kinds that this one does not know.
    return true;
}

} // namespace Guavalock
