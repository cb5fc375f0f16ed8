#pragma once

#include "Decisions/RandomEngine.h"
#include "Fleet/RecordStore.h"
#include "Fleet/RolloutStatus.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace Guavalock
{

class RecordCodec;

/// Writes the status of a rollout to the store until it is read back. Owned by a coroutine; used on one strand.
///
/// Each write states where the topic ends, so that of two coordinators the second reads what the first has written. A final status of the
/// same order is never replaced.
class StatusWriter
{
public:
    StatusWriter(boost::asio::any_io_executor strand, std::unique_ptr<RecordStore> store, const RecordCodec &codec, std::uint64_t seed);

    /// Writes a status. Begins to read the topic at an offset up to which all records are known, or reads it whole if that is zero. Returns
    /// what the store has then: the status, or the final one of another coordinator. Returns nothing if `isWanted` has become false.
    boost::asio::awaitable<std::optional<RolloutStatus>> write(RolloutStatus status, std::uint64_t from, std::function<bool()> isWanted);

private:
    /// Reads what is new. Returns false if the store didn't answer.
    boost::asio::awaitable<bool> read();
    void apply(const KeyedRecord &record);

    boost::asio::any_io_executor m_strand;
    std::unique_ptr<RecordStore> m_store;
    const RecordCodec &m_codec;
    RandomEngine m_random;
    std::string m_key;
    std::uint64_t m_next = 0; ///< End of what has been read of the topic; zero if it has to be read whole.
    std::uint64_t m_era = 0;
    std::optional<RolloutStatus> m_known; ///< As last read.
};

} // namespace Guavalock
