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

/// The platform's append-only log. One object makes one call at a time, on the strand it was made with.
class PlatformLog
{
public:
    static constexpr const char *pluginKind = "platform";

    struct Entry {
        std::string id; ///< Chosen by the writer, unique.
        std::string data;
    };

    struct Record {
        std::uint64_t offset = 0;
        Clock::WallTime time; ///< Given by the log; never decreases within a stream.
        std::string id;
        std::string data;
    };

    struct Batch {
        std::vector<Record> records;
        std::uint64_t next = 0; ///< Where to read on.
        std::uint64_t oldest = 0; ///< The first offset still kept.
    };

    enum class AppendEnd {
        Appended,
        Refused, ///< The log answered that it did not append.
        Unknown, ///< No answer came; the entries may be in the log.
    };

    virtual ~PlatformLog() = default;

    virtual boost::asio::awaitable<AppendEnd> append(std::string stream, std::vector<Entry> entries) = 0;

    /// Returns records from an offset on. With none there, the log holds the call for up to the wait. Returns nothing on failure.
    virtual boost::asio::awaitable<std::optional<Batch>> read(std::string stream, std::uint64_t from, std::chrono::milliseconds wait) = 0;
};

} // namespace Guavalock
