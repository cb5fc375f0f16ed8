#include "Peer/FrameBuilder.h"

#include <Peer_generated.h>
#include <boost/json/serialize.hpp>

namespace Guavalock
{

namespace
{

constexpr std::size_t initialBufferBytes = 512;

FrameBuilder::Bytes finish(flatbuffers::FlatBufferBuilder &builder, Wire::Body type, flatbuffers::Offset<void> body)
{
    builder.FinishSizePrefixed(Wire::CreateFrame(builder, type, body));
    return {builder.GetBufferPointer(), builder.GetBufferPointer() + builder.GetSize()};
}

std::int64_t microseconds(Clock::Duration duration)
{
    return std::chrono::duration_cast<std::chrono::microseconds>(duration).count();
}

} // namespace

FrameBuilder::Bytes FrameBuilder::hello(const Hello &hello)
{
    flatbuffers::FlatBufferBuilder builder(initialBufferBytes);
    const auto body = Wire::CreateHelloDirect(builder, hello.version, hello.vm.c_str(), hello.dataCentre.c_str(), hello.incarnation.c_str(),
                                              &hello.nonce);
    return finish(builder, Wire::Body::Hello, body.Union());
}

FrameBuilder::Bytes FrameBuilder::proof(const Bytes &mac)
{
    flatbuffers::FlatBufferBuilder builder(initialBufferBytes);
    return finish(builder, Wire::Body::Proof, Wire::CreateProofDirect(builder, &mac).Union());
}

FrameBuilder::Bytes FrameBuilder::heartbeat(const MemberTable::Heartbeat &state)
{
    flatbuffers::FlatBufferBuilder builder(initialBufferBytes);
    flatbuffers::Offset<flatbuffers::Vector<flatbuffers::Offset<flatbuffers::String>>> pools;
    if (state.poolsChanged) {
        pools = builder.CreateVectorOfStrings(std::vector<std::string>(state.pools.begin(), state.pools.end()));
    }
    const auto body = Wire::CreateHeartbeat(builder, state.draining, state.nextConfigurationOffset, pools, state.poolsChanged);
    return finish(builder, Wire::Body::Heartbeat, body.Union());
}

FrameBuilder::Bytes FrameBuilder::stageCall(std::uint64_t call, const StageCall &stage, Clock::TimePoint now)
{
    flatbuffers::FlatBufferBuilder builder(initialBufferBytes);
    const std::string input = boost::json::serialize(stage.input);
    const StageRequirements &requirements = stage.requirements;
    const auto body = Wire::CreateStageCallDirect(
        builder, call, stage.requestId.c_str(), stage.attemptId.c_str(), stage.pool.c_str(), stage.model.c_str(), stage.path.c_str(),
        stage.idempotencyKey.c_str(), stage.idempotent, requirements.organisation.c_str(), static_cast<std::uint32_t>(requirements.weight),
        requirements.affinity, requirements.urgent, requirements.suspect, microseconds(requirements.deadline - now), input.c_str(),
        stage.position, stage.textSoFar.c_str(), &requirements.avoidedTargets);
    return finish(builder, Wire::Body::StageCall, body.Union());
}

FrameBuilder::Bytes FrameBuilder::cancel(std::uint64_t call)
{
    flatbuffers::FlatBufferBuilder builder(initialBufferBytes);
    return finish(builder, Wire::Body::Cancel, Wire::CreateCancel(builder, call).Union());
}

FrameBuilder::Bytes FrameBuilder::tokens(std::uint64_t call, const std::vector<GeneratedToken> &tokens)
{
    flatbuffers::FlatBufferBuilder builder(initialBufferBytes);
    std::vector<flatbuffers::Offset<Wire::TokenPart>> list;
    list.reserve(tokens.size());
    for (const GeneratedToken &it : tokens) {
        list.push_back(Wire::CreateTokenPartDirect(builder, it.position, it.text.c_str()));
    }
    return finish(builder, Wire::Body::Parts, Wire::CreatePartsDirect(builder, call, &list).Union());
}

FrameBuilder::Bytes FrameBuilder::stageEnd(std::uint64_t call, const AttemptResult &result)
{
    flatbuffers::FlatBufferBuilder builder(initialBufferBytes);
    const std::string output = boost::json::serialize(result.output);
    const std::int8_t cause = result.cause ? static_cast<std::int8_t>(*result.cause) : std::int8_t(-1);
    const auto body = Wire::CreateStageEndDirect(builder, call, static_cast<std::uint8_t>(result.outcome), cause, result.detail.c_str(),
                                                 output.c_str(), result.tokensIn, result.tokensOut, result.target.c_str(),
                                                 microseconds(result.duration), result.targetDied);
    return finish(builder, Wire::Body::StageEnd, body.Union());
}

FrameBuilder::Bytes FrameBuilder::death(std::uint64_t fingerprint, std::size_t deaths)
{
    flatbuffers::FlatBufferBuilder builder(initialBufferBytes);
    const auto body = Wire::CreateDeath(builder, fingerprint, static_cast<std::uint32_t>(deaths));
    return finish(builder, Wire::Body::Death, body.Union());
}

FrameBuilder::Bytes FrameBuilder::deathSeen(std::uint64_t fingerprint, std::size_t deaths)
{
    flatbuffers::FlatBufferBuilder builder(initialBufferBytes);
    const auto body = Wire::CreateDeathSeen(builder, fingerprint, static_cast<std::uint32_t>(deaths));
    return finish(builder, Wire::Body::DeathSeen, body.Union());
}

FrameBuilder::Bytes FrameBuilder::targetStatus(const std::string &pool, const std::string &target, const LoadReport &report)
{
    flatbuffers::FlatBufferBuilder builder(initialBufferBytes);
    const auto body = Wire::CreateTargetSignDirect(builder, pool.c_str(), target.c_str(), report.incarnation.c_str(), report.warm,
                                                   static_cast<std::uint32_t>(report.running), static_cast<std::uint32_t>(report.waiting));
    return finish(builder, Wire::Body::TargetSign, body.Union());
}

FrameBuilder::Bytes FrameBuilder::records(const std::vector<ConfigurationTable::OffsetRecord> &records, std::uint64_t from,
                                          std::uint64_t next)
{
    flatbuffers::FlatBufferBuilder builder(initialBufferBytes);
    std::vector<flatbuffers::Offset<Wire::ConfigurationRecord>> list;
    for (const ConfigurationTable::OffsetRecord &it : records) {
        const char *value = it.record.value ? it.record.value->c_str() : nullptr;
        list.push_back(Wire::CreateConfigurationRecordDirect(builder, it.offset, it.record.id.c_str(), it.record.path.c_str(),
                                                             it.record.expectedVersion, value, it.record.author.c_str()));
    }
    return finish(builder, Wire::Body::ConfigurationRecords, Wire::CreateConfigurationRecordsDirect(builder, from, next, &list).Union());
}

FrameBuilder::Bytes FrameBuilder::snapshotRequest()
{
    flatbuffers::FlatBufferBuilder builder(initialBufferBytes);
    return finish(builder, Wire::Body::SnapshotRequest, Wire::CreateSnapshotRequest(builder).Union());
}

FrameBuilder::Bytes FrameBuilder::snapshot(const ConfigurationTree &tree)
{
    flatbuffers::FlatBufferBuilder builder(initialBufferBytes);
    std::vector<flatbuffers::Offset<Wire::Document>> documents;
    for (const auto &[path, text] : tree.documents()) {
        documents.push_back(Wire::CreateDocumentDirect(builder, path.c_str(), text.c_str()));
    }
    std::vector<flatbuffers::Offset<Wire::SubtreeVersion>> versions;
    for (const auto &[subtree, version] : tree.versions()) {
        versions.push_back(Wire::CreateSubtreeVersionDirect(builder, subtree.c_str(), version));
    }
    return finish(builder, Wire::Body::Snapshot, Wire::CreateSnapshotDirect(builder, tree.nextOffset(), &documents, &versions).Union());
}

} // namespace Guavalock
