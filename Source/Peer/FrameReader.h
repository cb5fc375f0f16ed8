#pragma once

#include "Peer/FrameBuilder.h"

#include <functional>
#include <optional>
#include <span>

namespace Guavalock
{

/// The handlers of a connection, one per frame type. Frames whose handler is empty are ignored.
struct FrameHandlers {
    std::function<void(const MemberTable::Heartbeat &)> heartbeat;
    std::function<void(std::uint64_t call, StageCall)> stageCall;
    std::function<void(std::uint64_t call)> cancel;
    std::function<void(std::uint64_t call, std::vector<GeneratedToken>)> tokens;
    std::function<void(std::uint64_t call, AttemptResult)> stageEnd;
    std::function<void(std::uint64_t fingerprint, std::size_t deaths)> death;
    std::function<void(std::uint64_t fingerprint, std::size_t deaths)> deathSeen;
    std::function<void(std::vector<ConfigurationTable::OffsetRecord>, std::uint64_t from, std::uint64_t next)> records;
    std::function<void(const std::string &pool, const std::string &target, const LoadReport &)> targetStatus;
    std::function<void()> snapshotRequest;
    std::function<void(ConfigurationTree)> snapshot;
};

/// Decodes frames. Each frame is verified before any of its fields are read.
class FrameReader
{
public:
    using Bytes = std::span<const std::uint8_t>;

    static std::optional<FrameBuilder::Hello> hello(Bytes frame);
    static std::optional<FrameBuilder::Bytes> proof(Bytes frame);

    /// Decodes a frame and calls its handler. Returns false if the frame is invalid.
    static bool dispatch(Bytes frame, Clock::TimePoint now, const FrameHandlers &handlers);
};

} // namespace Guavalock
