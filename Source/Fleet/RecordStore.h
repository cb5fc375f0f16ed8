#pragma once

#include "Fleet/KeyedRecord.h"
#include "Fleet/Topic.h"

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace Guavalock
{

/// The platform's store of keyed records. One object makes one call at a time, on the strand that it was made with.
class RecordStore
{
public:
    enum class ReadEnd {
        Read,
        Forgotten, ///< Records from that offset on are no longer kept; read the newest of each key.
        Failed, ///< No answer, or a refusal.
    };

    struct Read {
        ReadEnd end = ReadEnd::Failed;
        std::vector<KeyedRecord> records;
        std::uint64_t next = 0; ///< Where to read on.
    };

    struct Newest {
        std::vector<KeyedRecord> records;
        std::uint64_t next = 0; ///< End of the topic before the first page was read.
    };

    enum class PutEnd {
        Written,
        Refused, ///< Nothing was written.
        Unknown, ///< No answer came; the record may be written now or later.
    };

    virtual ~RecordStore() = default;

    /// Returns the newest record of each key, or nothing on failure.
    virtual boost::asio::awaitable<std::optional<Newest>> newest(Topic topic, std::chrono::milliseconds timeout) = 0;

    /// Returns records from an offset on. With none there, the store holds the call for up to the wait.
    virtual boost::asio::awaitable<Read> read(Topic topic, std::uint64_t from, std::chrono::milliseconds wait,
                                              std::chrono::milliseconds timeout)
        = 0;

    /// Writes a record, or drops its key when the value is empty.
    virtual boost::asio::awaitable<PutEnd> put(Topic topic, std::string key, std::optional<std::string> value,
                                               std::chrono::milliseconds timeout)
        = 0;
};

} // namespace Guavalock
