#pragma once

#include "Decisions/ConfigurationTree.h"
#include "Flow/AttemptResult.h"
#include "Flow/GeneratedToken.h"
#include "Flow/StageCall.h"
#include "Tables/ConfigurationTable.h"
#include "Tables/MemberTable.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Guavalock
{

/// Encodes the messages between daemons as length-prefixed FlatBuffers frames.
class FrameBuilder
{
public:
    using Bytes = std::vector<std::uint8_t>;

    static constexpr std::uint16_t protocolVersion = 1;

    struct Hello {
        std::uint16_t version = protocolVersion;
        std::string vm;
        std::string dataCentre;
        std::string incarnation;
        Bytes nonce;
    };

    static Bytes hello(const Hello &hello);
    static Bytes proof(const Bytes &mac);
    static Bytes heartbeat(const MemberTable::Heartbeat &state);
    static Bytes stageCall(std::uint64_t call, const StageCall &stage, Clock::TimePoint now);
    static Bytes cancel(std::uint64_t call);
    static Bytes tokens(std::uint64_t call, const std::vector<GeneratedToken> &tokens);
    static Bytes stageEnd(std::uint64_t call, const AttemptResult &result);
    static Bytes death(std::uint64_t fingerprint, std::size_t deaths);
    static Bytes deathSeen(std::uint64_t fingerprint, std::size_t deaths);
    static Bytes targetStatus(const std::string &pool, const std::string &target, const LoadReport &report);
    static Bytes records(const std::vector<ConfigurationTable::OffsetRecord> &records, std::uint64_t from, std::uint64_t next);
    static Bytes snapshotRequest();
    static Bytes snapshot(const ConfigurationTree &tree);
};

} // namespace Guavalock
