#include "Mesh/MeshCodec.h"

#include "Mesh/EvidenceFrames.h"
#include "Mesh/FrameCompression.h"
#include "Mesh/FrameFields.h"
#include "Mesh/PlacementFrames.h"
#include "Mesh/RolloutFrames.h"

#include <algorithm>
#include <array>

namespace Guavalock
{

namespace
{

using Builder = FrameFields::Builder;

constexpr std::size_t firstBufferBytes = FrameFields::firstBufferBytes;

flatbuffers::Offset<MeshWire::Piece> encodePiece(Builder &builder, const Piece &piece, Clock::TimePoint now)
{
    const auto inputs = builder.CreateVectorOfStrings(piece.inputs);
    const auto id = builder.CreateString(piece.requestId);
    const auto service = builder.CreateSharedString(piece.service);
    const auto key = builder.CreateString(piece.key);
    const auto dataCentre = builder.CreateSharedString(piece.nearDataCentre);
    return MeshWire::CreatePiece(builder, piece.number, id, static_cast<std::uint16_t>(piece.stage),
                                 static_cast<std::uint16_t>(piece.index), service, key, inputs, dataCentre, piece.nearBytes,
                                 piece.resultBytes, piece.rank, FrameFields::microsecondsTo(piece.softDeadline, now),
                                 FrameFields::microsecondsTo(piece.deadline, now), piece.refusable);
}

flatbuffers::Offset<MeshWire::Record> encodeRecord(Builder &builder, const KeyedRecord &record)
{
    flatbuffers::Offset<flatbuffers::Vector<std::uint8_t>> value;
    if (record.value) {
        value = builder.CreateVector(reinterpret_cast<const std::uint8_t *>(record.value->data()), record.value->size());
    }
    const auto key = builder.CreateString(record.key);
    return MeshWire::CreateRecord(builder, key, value, record.offset);
}

Piece decodePiece(const MeshWire::Piece &wire, Clock::TimePoint now)
{
    Piece piece;
    piece.number = wire.number();
    piece.requestId = FrameFields::text(wire.request_id());
    piece.stage = wire.stage();
    piece.index = wire.fragment();
    piece.service = FrameFields::text(wire.service());
    piece.key = FrameFields::text(wire.key());
    piece.inputs = FrameFields::texts(wire.inputs());
    piece.nearDataCentre = FrameFields::text(wire.near_data_centre());
    piece.nearBytes = wire.near_bytes();
    piece.resultBytes = wire.result_bytes();
    piece.rank = wire.rank();
    piece.softDeadline = FrameFields::timeFromNow(wire.wanted_in_us(), now);
    piece.deadline = FrameFields::timeFromNow(wire.left_us(), now);
    piece.refusable = wire.refusable();
    return piece;
}

/// Decodes one type of frame and calls its handler. Returns false if a value is out of range.
using Decoder = bool (*)(const MeshWire::Frame &frame, Clock::TimePoint now, const MeshHandlers &handlers);

bool decodeHello(const MeshWire::Frame &frame, Clock::TimePoint, const MeshHandlers &handlers)
{
    const MeshWire::Hello &wire = *frame.body_as_Hello();
    const std::optional<Endpoint> address = Endpoint::parse(FrameFields::text(wire.address()));
    if (!address) {
        return false;
    }
    if (handlers.hello) {
        handlers.hello({FrameFields::text(wire.vm()), FrameFields::text(wire.data_centre()), *address,
                        FrameFields::text(wire.incarnation()), wire.processor_share()});
    }
    return true;
}

bool decodeHeartbeat(const MeshWire::Frame &frame, Clock::TimePoint, const MeshHandlers &handlers)
{
    if (handlers.heartbeat) {
        handlers.heartbeat(frame.body_as_Beat()->draining());
    }
    return true;
}

bool decodePieces(const MeshWire::Frame &frame, Clock::TimePoint now, const MeshHandlers &handlers)
{
    std::vector<Piece> pieces;
    if (const auto *list = frame.body_as_Pieces()->pieces()) {
        for (const MeshWire::Piece *it : *list) {
            pieces.push_back(decodePiece(*it, now));
        }
    }
    if (handlers.pieces) {
        handlers.pieces(std::move(pieces));
    }
    return true;
}

std::vector<Clock::Duration> decodeWaits(const flatbuffers::Vector<std::int64_t> *list, Clock::TimePoint now)
{
    std::vector<Clock::Duration> waits;
    if (list != nullptr) {
        for (const std::int64_t it : *list) {
            waits.push_back(std::max(Clock::Duration::zero(), FrameFields::timeFromNow(it, now) - now));
        }
    }
    return waits;
}

std::vector<std::int64_t> encodeWaits(const std::vector<Clock::Duration> &waits)
{
    std::vector<std::int64_t> list;
    for (const Clock::Duration it : waits) {
        list.push_back(std::chrono::duration_cast<std::chrono::microseconds>(it).count());
    }
    return list;
}

/// Decodes reported backlogs. Returns false if a value is out of range.
bool decodeBacklogs(const MeshWire::Results &wire, Clock::TimePoint now, std::vector<ServiceBacklog> &backlogs)
{
    if (wire.backlogs() == nullptr) {
        return true;
    }
    for (const MeshWire::Backlog *it : *wire.backlogs()) {
        ServiceBacklog backlog{FrameFields::text(it->service()),
                               decodeWaits(it->waits_us(), now),
                               decodeWaits(it->late_waits_us(), now),
                               FrameFields::timeFromNow(it->call_us(), now) - now,
                               FrameFields::timeFromNow(it->average_call_us(), now) - now,
                               it->calls_per_s(),
                               FrameFields::timeBefore(it->age_us(), now)};
        if (!(backlog.callsPerSecond >= 0) || it->call_us() < 0 || it->average_call_us() < 0 || it->age_us() < 0) {
            return false;
        }
        backlogs.push_back(std::move(backlog));
    }
    return true;
}

bool decodeResults(const MeshWire::Frame &frame, Clock::TimePoint now, const MeshHandlers &handlers)
{
    constexpr auto lastEnd = static_cast<std::uint8_t>(PieceResult::Outcome::Failed);
    std::vector<PieceResult> results;
    if (const auto *list = frame.body_as_Results()->results()) {
        for (const MeshWire::Result *it : *list) {
            if (it->end() > lastEnd) {
                return false;
            }
            results.push_back({it->number(), static_cast<PieceResult::Outcome>(it->end()), FrameFields::text(it->handle()),
                               FrameFields::text(it->data_centre())});
        }
    }
    std::vector<ServiceBacklog> backlogs;
    if (!decodeBacklogs(*frame.body_as_Results(), now, backlogs)) {
        return false;
    }
    if (handlers.backlogs && !backlogs.empty()) {
        handlers.backlogs(std::move(backlogs));
    }
    if (handlers.results) {
        handlers.results(std::move(results));
    }
    return true;
}

bool decodeCancel(const MeshWire::Frame &frame, Clock::TimePoint, const MeshHandlers &handlers)
{
    if (handlers.cancel) {
        handlers.cancel(FrameFields::text(frame.body_as_Cancel()->request_id()));
    }
    return true;
}

bool decodeRelease(const MeshWire::Frame &frame, Clock::TimePoint, const MeshHandlers &handlers)
{
    if (handlers.release) {
        handlers.release(FrameFields::texts(frame.body_as_Release()->handles()));
    }
    return true;
}

bool validTopic(std::uint8_t topic)
{
    return topic < allTopics.size();
}

bool decodeRecordsRequest(const MeshWire::Frame &frame, Clock::TimePoint, const MeshHandlers &handlers)
{
    const MeshWire::RecordsRequest &wire = *frame.body_as_RecordsRequest();
    if (!validTopic(wire.topic())) {
        return false;
    }
    if (handlers.recordsRequest) {
        handlers.recordsRequest(static_cast<Topic>(wire.topic()), {wire.era(), wire.from()}, wire.compressed());
    }
    return true;
}

KeyedRecord decodeRecord(const MeshWire::Record &wire, std::uint64_t era)
{
    KeyedRecord record{FrameFields::text(wire.key()), std::nullopt, wire.offset(), era};
    if (wire.value() != nullptr) {
        record.value.emplace(wire.value()->begin(), wire.value()->end());
    }
    return record;
}

bool decodeRecords(const MeshWire::Frame &frame, Clock::TimePoint now, const MeshHandlers &handlers)
{
    const MeshWire::Records &wire = *frame.body_as_Records();
    if (!validTopic(wire.topic())) {
        return false;
    }
    RecordUpdate update;
    update.topic = static_cast<Topic>(wire.topic());
    update.next = wire.next();
    update.complete = wire.complete();
    update.confirmed = FrameFields::timeBefore(wire.age_us(), now);
    update.era = wire.era();
    if (wire.records() != nullptr) {
        for (const MeshWire::Record *it : *wire.records()) {
            update.records.push_back(decodeRecord(*it, update.era));
        }
    }
    if (wire.held() != nullptr) {
        for (const MeshWire::HeldRecord *it : *wire.held()) {
            if (it->record() != nullptr) {
                update.held.push_back({decodeRecord(*it->record(), update.era), FrameFields::timeFromNow(it->left_us(), now)});
            }
        }
    }
    if (handlers.records) {
        handlers.records(std::move(update));
    }
    return true;
}

bool decodeRoster(const MeshWire::Frame &frame, Clock::TimePoint, const MeshHandlers &handlers)
{
    const MeshWire::Roster &wire = *frame.body_as_Roster();
    Roster roster;
    if (wire.direct() != nullptr) {
        roster.direct.assign(wire.direct()->begin(), wire.direct()->end());
    }
    if (wire.relayed() != nullptr) {
        roster.relayed.assign(wire.relayed()->begin(), wire.relayed()->end());
    }
    if (handlers.roster) {
        handlers.roster(std::move(roster));
    }
    return true;
}

/// Returns the root of a valid frame that has a body of a known type, or null.
const MeshWire::Frame *verifiedRoot(const MeshCodec::Bytes &frame);

bool decodeCompressed(const MeshWire::Frame &frame, Clock::TimePoint now, const MeshHandlers &handlers)
{
    const MeshWire::Compressed &wire = *frame.body_as_Compressed();
    if (wire.data() == nullptr) {
        return false;
    }
    const std::optional<MeshCodec::Bytes> inner = FrameCompression::expand({wire.data()->data(), wire.data()->size()}, wire.size());
    const MeshWire::Frame *root = inner ? verifiedRoot(*inner) : nullptr;
    // Frames are compressed once. More levels would multiply the memory that a frame can use.
    return root != nullptr && root->body_type() != MeshWire::Body::Compressed && MeshCodec::decode(*inner, now, handlers);
}

/// Indexed by the body type of the schema. Its first value denotes a frame without a body.
constexpr std::array<Decoder, 18> decoders{nullptr,
                                           decodeHello,
                                           decodeHeartbeat,
                                           decodePieces,
                                           decodeResults,
                                           decodeCancel,
                                           decodeRelease,
                                           decodeRecordsRequest,
                                           decodeRecords,
                                           decodeRoster,
                                           &EvidenceFrames::decode,
                                           decodeCompressed,
                                           &RolloutFrames::decodeEvidence,
                                           &RolloutFrames::decodeState,
                                           &PlacementFrames::decodeQueries,
                                           &PlacementFrames::decodeAnswers,
                                           &PlacementFrames::decodeReports,
                                           &PlacementFrames::decodeTotals};

const MeshWire::Frame *verifiedRoot(const MeshCodec::Bytes &frame)
{
    flatbuffers::Verifier verifier(frame.data(), frame.size());
    if (!verifier.VerifySizePrefixedBuffer<MeshWire::Frame>(nullptr)) {
        return nullptr;
    }
    const MeshWire::Frame *root = flatbuffers::GetSizePrefixedRoot<MeshWire::Frame>(frame.data());
    const auto type = static_cast<std::size_t>(root->body_type());
    return type == 0 || type >= decoders.size() || root->body() == nullptr ? nullptr : root;
}

} // namespace

MeshCodec::Bytes MeshCodec::hello(const MemberRecord &self)
{
    Builder builder(firstBufferBytes);
    const auto body = MeshWire::CreateHelloDirect(builder, self.vm.c_str(), self.dataCentre.c_str(), self.peerAddress.text().c_str(),
                                                  self.incarnation.c_str(), self.processorShare);
    return FrameFields::finish(builder, MeshWire::Body::Hello, body.Union());
}

MeshCodec::Bytes MeshCodec::heartbeat(bool draining)
{
    Builder builder(firstBufferBytes);
    return FrameFields::finish(builder, MeshWire::Body::Beat, MeshWire::CreateBeat(builder, draining).Union());
}

MeshCodec::Bytes MeshCodec::pieces(const std::vector<Piece> &pieces, Clock::TimePoint now)
{
    Builder builder(firstBufferBytes);
    std::vector<flatbuffers::Offset<MeshWire::Piece>> list;
    list.reserve(pieces.size());
    for (const Piece &it : pieces) {
        list.push_back(encodePiece(builder, it, now));
    }
    return FrameFields::finish(builder, MeshWire::Body::Pieces, MeshWire::CreatePiecesDirect(builder, &list).Union());
}

MeshCodec::Bytes MeshCodec::results(const std::vector<PieceResult> &results, const std::vector<ServiceBacklog> &backlogs,
                                    Clock::TimePoint now)
{
    Builder builder(firstBufferBytes);
    std::vector<flatbuffers::Offset<MeshWire::Result>> list;
    list.reserve(results.size());
    for (const PieceResult &it : results) {
        list.push_back(MeshWire::CreateResultDirect(builder, it.number, static_cast<std::uint8_t>(it.outcome), it.handle.c_str(),
                                                    it.dataCentre.c_str()));
    }
    std::vector<flatbuffers::Offset<MeshWire::Backlog>> reports;
    for (const ServiceBacklog &it : backlogs) {
        const std::vector<std::int64_t> waits = encodeWaits(it.waits);
        const std::vector<std::int64_t> lateWaits = encodeWaits(it.lateWaits);
        const auto callTime = std::chrono::duration_cast<std::chrono::microseconds>(it.callTime).count();
        const auto averageCallTime = std::chrono::duration_cast<std::chrono::microseconds>(it.averageCallTime).count();
        reports.push_back(MeshWire::CreateBacklogDirect(builder, it.service.c_str(), &waits, callTime, it.callsPerSecond,
                                                        FrameFields::microsecondsTo(now, it.measuredAt), &lateWaits, averageCallTime));
    }
    return FrameFields::finish(builder, MeshWire::Body::Results, MeshWire::CreateResultsDirect(builder, &list, &reports).Union());
}

MeshCodec::Bytes MeshCodec::cancel(const std::string &requestId)
{
    Builder builder(firstBufferBytes);
    return FrameFields::finish(builder, MeshWire::Body::Cancel, MeshWire::CreateCancelDirect(builder, requestId.c_str()).Union());
}

MeshCodec::Bytes MeshCodec::release(const std::vector<std::string> &handles)
{
    Builder builder(firstBufferBytes);
    const auto list = builder.CreateVectorOfStrings(handles);
    return FrameFields::finish(builder, MeshWire::Body::Release, MeshWire::CreateRelease(builder, list).Union());
}

MeshCodec::Bytes MeshCodec::recordsRequest(Topic topic, RecordPosition from)
{
    Builder builder(firstBufferBytes);
    const auto body = MeshWire::CreateRecordsRequest(builder, static_cast<std::uint8_t>(topic), from.offset, from.era, true);
    return FrameFields::finish(builder, MeshWire::Body::RecordsRequest, body.Union());
}

MeshCodec::Bytes MeshCodec::records(const RecordUpdate &update, Clock::TimePoint now)
{
    Builder builder(firstBufferBytes);
    std::vector<flatbuffers::Offset<MeshWire::Record>> list;
    list.reserve(update.records.size());
    for (const KeyedRecord &it : update.records) {
        list.push_back(encodeRecord(builder, it));
    }
    std::vector<flatbuffers::Offset<MeshWire::HeldRecord>> held;
    for (const auto &[record, until] : update.held) {
        held.push_back(MeshWire::CreateHeldRecord(builder, encodeRecord(builder, record), FrameFields::microsecondsTo(until, now)));
    }
    const auto body = MeshWire::CreateRecordsDirect(builder, static_cast<std::uint8_t>(update.topic), update.next, &list,
                                                    FrameFields::microsecondsTo(now, update.confirmed), update.complete, update.era, &held);
    return FrameFields::finish(builder, MeshWire::Body::Records, body.Union());
}

MeshCodec::Bytes MeshCodec::roster(const Roster &roster)
{
    Builder builder(firstBufferBytes);
    const auto body = MeshWire::CreateRosterDirect(builder, &roster.direct, &roster.relayed);
    return FrameFields::finish(builder, MeshWire::Body::Roster, body.Union());
}

MeshCodec::Bytes MeshCodec::compressed(const Bytes &frame)
{
    const std::optional<Bytes> data = FrameCompression::compress(frame);
    if (!data) {
        return frame;
    }
    Builder builder(data->size() + firstBufferBytes);
    const auto body = MeshWire::CreateCompressedDirect(builder, static_cast<std::uint32_t>(frame.size()), &*data);
    return FrameFields::finish(builder, MeshWire::Body::Compressed, body.Union());
}

bool MeshCodec::decode(const Bytes &frame, Clock::TimePoint now, const MeshHandlers &handlers)
{
    const MeshWire::Frame *root = verifiedRoot(frame);
    return root != nullptr && decoders.at(static_cast<std::size_t>(root->body_type()))(*root, now, handlers);
}

} // namespace Guavalock
