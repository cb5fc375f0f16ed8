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

/// Client of the platform's store of keyed records. Each object makes one call at a time, on the strand it was created with.
///
/// The store may come back from an older copy. It then gives out offsets again, in a higher era. A store without eras is in era 0.
class RecordStore
{
public:
    enum class ReadStatus {
        Completed,
        Truncated, ///< The store no longer retains all records from the offset on; use `newest` to resynchronise.
        Failed, ///< The store did not answer or rejected the call.
    };

    struct ReadResult {
        ReadStatus status = ReadStatus::Failed;
        std::vector<KeyedRecord> records;
        std::uint64_t next = 0; ///< Offset of the next read.
        std::uint64_t era = 0;
    };

    struct LatestRecords {
        std::vector<KeyedRecord> records;
        std::uint64_t next = 0; ///< End offset of the topic, taken before the first page was read.
        std::uint64_t era = 0;
    };

    enum class PutStatus {
        Written,
        Refused, ///< Nothing was written.
        Conflict, ///< Nothing was written, because the topic ends elsewhere than the condition says.
        Unknown, ///< The store did not answer; the record may have been written or may still be written later.
    };

    virtual ~RecordStore() = default;

    /// Returns the latest record of each key, or nothing on failure.
    virtual boost::asio::awaitable<std::optional<LatestRecords>> readLatest(Topic topic, std::chrono::milliseconds timeout) = 0;

    /// Returns the records from an offset on. If there are none, the store waits up to `wait` for a new one (long polling).
    virtual boost::asio::awaitable<ReadResult> read(Topic topic, std::uint64_t from, std::chrono::milliseconds wait,
                                                    std::chrono::milliseconds timeout)
        = 0;

    /// Writes a record, or deletes its key if the value is empty. With an end offset, only if the topic ends there.
    virtual boost::asio::awaitable<PutStatus> put(Topic topic, std::string key, std::optional<std::string> value,
                                                  std::chrono::milliseconds timeout, std::optional<std::uint64_t> end = {})
        = 0;
};

} // namespace Guavalock
