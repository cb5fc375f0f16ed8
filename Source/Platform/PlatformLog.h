#pragma once

#include "Kernel/Clock.h"

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Guavalock
{

/// Client of the platform's append-only log. Performs one call at a time, on the strand it was created with.
class PlatformLog
{
public:
    static constexpr const char *pluginKind = "platform";

    struct Entry {
        std::string id; ///< Unique; chosen by the writer.
        std::string data;
    };

    struct Record {
        std::uint64_t offset = 0;
        Clock::WallTime time; ///< Assigned by the log; monotonically non-decreasing within a stream.
        std::string id;
        std::string data;
    };

    struct Batch {
        std::vector<Record> records;
        std::uint64_t next = 0; ///< Offset at which to continue reading.
        std::uint64_t oldest = 0; ///< Offset of the oldest retained record.
    };

    enum class AppendStatus {
        Appended,
        Refused, ///< The log rejected the append.
        Unknown, ///< No response was received; the entries may have been appended.
    };

    virtual ~PlatformLog() = default;

    virtual boost::asio::awaitable<AppendStatus> append(std::string stream, std::vector<Entry> entries) = 0;

    /// Returns the records starting at an offset, or nothing on failure. If there are none, the log holds the call for up to `wait`.
    virtual boost::asio::awaitable<std::optional<Batch>> read(std::string stream, std::uint64_t from, std::chrono::milliseconds wait) = 0;
};

} // namespace Guavalock
