#include "Mesh/PlacementFrames.h"

#include "Mesh/FrameFields.h"

#include <algorithm>

namespace Guavalock
{

namespace
{

using Builder = FrameFields::Builder;
using Microseconds = std::chrono::microseconds;
using Numbers = flatbuffers::Vector<std::uint64_t>;

/// Limits of received values, which prevent arithmetic overflow. Far above what any target takes.
constexpr std::uint64_t maxTokens = 1'000'000'000;
constexpr std::uint64_t maxRequests = 1'000'000;
constexpr Microseconds maxTime = std::chrono::hours(1);
constexpr double maxSlowdown = 100;

Microseconds time(std::int64_t microseconds)
{
    return std::clamp(Microseconds(microseconds), -maxTime, maxTime);
}

std::size_t tokens(std::uint64_t count)
{
    return std::min(count, maxTokens);
}

std::size_t requests(std::uint64_t count)
{
    return std::min(count, maxRequests);
}

std::pair<flatbuffers::Offset<Numbers>, flatbuffers::Offset<Numbers>> encodeParts(Builder &builder, const std::vector<PromptPart> &parts)
{
    std::vector<std::uint64_t> hashes;
    std::vector<std::uint64_t> counts;
    for (const PromptPart &it : parts) {
        hashes.push_back(it.hash);
        counts.push_back(it.tokens);
    }
    const auto first = builder.CreateVector(hashes);
    return {first, builder.CreateVector(counts)};
}

std::vector<PromptPart> decodeParts(const Numbers *hashes, const Numbers *counts)
{
    std::vector<PromptPart> parts;
    const flatbuffers::uoffset_t size = hashes == nullptr || counts == nullptr ? 0 : std::min(hashes->size(), counts->size());
    for (flatbuffers::uoffset_t it = 0; it < size; ++it) {
        parts.push_back({hashes->Get(it), tokens(counts->Get(it))});
    }
    return parts;
}

flatbuffers::Offset<MeshWire::PlacementRequest> encodeQuery(Builder &builder, const PlacementQuery &query)
{
    const auto service = builder.CreateSharedString(query.service);
    const auto [hashes, counts] = encodeParts(builder, query.parts);
    const auto tried = builder.CreateVectorOfStrings(query.triedTargets);
    const auto dataCentre = builder.CreateSharedString(query.dataCentre);
    return MeshWire::CreatePlacementRequest(builder, query.number, service, query.rank, query.timeLeft.count(), query.timeout.count(),
                                            query.promptTokens, query.outputTokens, hashes, counts, tried, dataCentre, query.remoteTokens);
}

PlacementQuery decodeQuery(const MeshWire::PlacementRequest &wire)
{
    PlacementQuery query;
    query.number = wire.number();
    query.service = FrameFields::text(wire.service());
    query.rank = wire.rank();
    query.timeLeft = time(wire.left_us());
    query.timeout = time(wire.timeout_us());
    query.promptTokens = tokens(wire.prompt_tokens());
    query.outputTokens = tokens(wire.output_tokens());
    query.parts = decodeParts(wire.parts(), wire.part_tokens());
    if (wire.tried() != nullptr) {
        for (const flatbuffers::String *it : *wire.tried()) {
            query.triedTargets.push_back(FrameFields::text(it));
        }
    }
    query.dataCentre = FrameFields::text(wire.near_data_centre());
    query.remoteTokens = tokens(wire.remote_tokens());
    return query;
}

std::optional<TargetLoad> decodeLoad(const MeshWire::PlacementReport &wire)
{
    if (!wire.has_load()) {
        return std::nullopt;
    }
    TargetLoad load{requests(wire.running()), requests(wire.waiting()), requests(wire.slots()), std::nullopt};
    if (wire.slowdown() > 0) {
        load.slowdown = std::min(wire.slowdown(), maxSlowdown);
    }
    return load;
}

} // namespace

PlacementFrames::Bytes PlacementFrames::queries(const std::vector<PlacementQuery> &queries)
{
    Builder builder(FrameFields::firstBufferBytes);
    std::vector<flatbuffers::Offset<MeshWire::PlacementRequest>> list;
    list.reserve(queries.size());
    for (const PlacementQuery &it : queries) {
        list.push_back(encodeQuery(builder, it));
    }
    return FrameFields::finish(builder, MeshWire::Body::PlacementRequests, MeshWire::CreatePlacementRequestsDirect(builder, &list).Union());
}

PlacementFrames::Bytes PlacementFrames::answers(const std::vector<PlacementAnswer> &answers)
{
    Builder builder(FrameFields::firstBufferBytes);
    std::vector<flatbuffers::Offset<MeshWire::Placement>> list;
    for (const PlacementAnswer &it : answers) {
        list.push_back(MeshWire::CreatePlacement(builder, it.number, builder.CreateSharedString(it.target)));
    }
    return FrameFields::finish(builder, MeshWire::Body::Placements, MeshWire::CreatePlacementsDirect(builder, &list).Union());
}

PlacementFrames::Bytes PlacementFrames::reports(const std::vector<PlacementReport> &reports)
{
    Builder builder(FrameFields::firstBufferBytes);
    std::vector<flatbuffers::Offset<MeshWire::PlacementReport>> list;
    for (const PlacementReport &it : reports) {
        const auto request = encodeQuery(builder, it.query);
        const auto target = builder.CreateSharedString(it.target);
        const TargetLoad load = it.load.value_or(TargetLoad());
        list.push_back(MeshWire::CreatePlacementReport(builder, static_cast<std::uint8_t>(it.event), request, target, it.started,
                                                       it.duration.count(), it.load.has_value(), load.running, load.waiting, load.slots,
                                                       load.slowdown.value_or(0)));
    }
    return FrameFields::finish(builder, MeshWire::Body::PlacementReports, MeshWire::CreatePlacementReportsDirect(builder, &list).Union());
}

PlacementFrames::Bytes PlacementFrames::totals(const std::string &service, const std::vector<PlacementTotal> &totals)
{
    Builder builder(FrameFields::firstBufferBytes);
    std::vector<flatbuffers::Offset<MeshWire::PlacementTotal>> list;
    for (const PlacementTotal &it : totals) {
        const auto target = builder.CreateString(it.target);
        const auto [hashes, counts] = encodeParts(builder, it.parts);
        list.push_back(MeshWire::CreatePlacementTotal(builder, target, it.requests, it.tokens, it.waitingTokens, hashes, counts));
    }
    return FrameFields::finish(builder, MeshWire::Body::PlacementTotals,
                               MeshWire::CreatePlacementTotalsDirect(builder, service.c_str(), &list).Union());
}

bool PlacementFrames::decodeQueries(const MeshWire::Frame &frame, Clock::TimePoint, const MeshHandlers &handlers)
{
    std::vector<PlacementQuery> queries;
    if (const auto *list = frame.body_as_PlacementRequests()->requests()) {
        for (const MeshWire::PlacementRequest *it : *list) {
            queries.push_back(decodeQuery(*it));
        }
    }
    if (handlers.placementQueries) {
        handlers.placementQueries(std::move(queries));
    }
    return true;
}

bool PlacementFrames::decodeAnswers(const MeshWire::Frame &frame, Clock::TimePoint, const MeshHandlers &handlers)
{
    std::vector<PlacementAnswer> answers;
    if (const auto *list = frame.body_as_Placements()->placements()) {
        for (const MeshWire::Placement *it : *list) {
            answers.push_back({it->number(), FrameFields::text(it->target())});
        }
    }
    if (handlers.placementAnswers) {
        handlers.placementAnswers(std::move(answers));
    }
    return true;
}

bool PlacementFrames::decodeReports(const MeshWire::Frame &frame, Clock::TimePoint, const MeshHandlers &handlers)
{
    constexpr auto lastEvent = static_cast<std::uint8_t>(PlacementReport::Event::Abandoned);
    std::vector<PlacementReport> reports;
    if (const auto *list = frame.body_as_PlacementReports()->reports()) {
        for (const MeshWire::PlacementReport *it : *list) {
            if (it->event() > lastEvent || it->request() == nullptr) {
                return false;
            }
            reports.push_back({static_cast<PlacementReport::Event>(it->event()), decodeQuery(*it->request()),
                               FrameFields::text(it->target()), it->started(), time(it->duration_us()), decodeLoad(*it)});
        }
    }
    if (handlers.placementReports) {
        handlers.placementReports(std::move(reports));
    }
    return true;
}

bool PlacementFrames::decodeTotals(const MeshWire::Frame &frame, Clock::TimePoint, const MeshHandlers &handlers)
{
    const MeshWire::PlacementTotals &wire = *frame.body_as_PlacementTotals();
    std::vector<PlacementTotal> totals;
    if (wire.totals() != nullptr) {
        for (const MeshWire::PlacementTotal *it : *wire.totals()) {
            totals.push_back({FrameFields::text(it->target()), requests(it->requests()), tokens(it->tokens()), tokens(it->waiting_tokens()),
                              decodeParts(it->parts(), it->part_tokens())});
        }
    }
    if (handlers.placementTotals) {
        handlers.placementTotals(FrameFields::text(wire.service()), std::move(totals));
    }
    return true;
}

} // namespace Guavalock
