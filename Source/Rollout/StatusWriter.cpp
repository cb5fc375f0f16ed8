#include "Rollout/StatusWriter.h"

#include "Decisions/Backoff.h"
#include "Fleet/RecordCodec.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <utility>

namespace Guavalock
{

namespace Asio = boost::asio;

namespace
{

using Milliseconds = std::chrono::milliseconds;

constexpr Milliseconds callTimeout{700}; ///< Short, so that a lost response leaves time for another call before the deadline.
constexpr Milliseconds initialRetryDelay{50};
constexpr Milliseconds maxRetryDelay{400};

} // namespace

StatusWriter::StatusWriter(Asio::any_io_executor strand, std::unique_ptr<RecordStore> store, const RecordCodec &codec, std::uint64_t seed)
    : m_strand(std::move(strand))
    , m_store(std::move(store))
    , m_codec(codec)
    , m_random(seed)
{
}

void StatusWriter::apply(const KeyedRecord &record)
{
    if (record.key == m_key) {
        Reason reason;
        m_known = record.value ? m_codec.rolloutStatus(record.key, *record.value, reason) : std::nullopt;
    }
}

Asio::awaitable<bool> StatusWriter::read()
{
    if (m_next != 0) {
        const RecordStore::ReadResult read = co_await m_store->read(Topic::Members, m_next, Milliseconds(0), callTimeout);
        const bool isSameEra = m_era == 0 || read.era == m_era;
        if (read.status == RecordStore::ReadStatus::Completed && isSameEra) {
            for (const KeyedRecord &it : read.records) {
                apply(it);
            }
            m_era = read.era;
            m_next = read.next;
            co_return true;
        }
        if (read.status == RecordStore::ReadStatus::Failed) {
            co_return false;
        }
    }
    const std::optional<RecordStore::LatestRecords> latest = co_await m_store->readLatest(Topic::Members, callTimeout);
    if (!latest) {
        co_return false;
    }
    m_known.reset();
    for (const KeyedRecord &it : latest->records) {
        apply(it);
    }
    m_era = latest->era;
    m_next = latest->next;
    co_return true;
}

Asio::awaitable<std::optional<RolloutStatus>> StatusWriter::write(RolloutStatus status, std::uint64_t from, std::function<bool()> isWanted)
{
    m_key = m_codec.rolloutKey(status.service);
    m_next = from;
    Backoff backoff(initialRetryDelay, maxRetryDelay);
    Asio::steady_timer timer(m_strand);
    bool conflicted = false;
    bool hasWritten = false;
    while (isWanted()) {
        const bool hasRead = co_await read();
        if (hasRead && m_known && m_known->version == status.version && (*m_known == status || m_known->isFinal())) {
            co_return m_known;
        }
        if (hasRead) {
            const auto end = co_await m_store->put(Topic::Members, m_key, m_codec.rolloutText(status), callTimeout, m_next);
            if (end == RecordStore::PutStatus::Written && !std::exchange(hasWritten, true)) {
                continue; // Reads it back.
            }
            // A second conflict means that the offsets are not those of the store; the topic is then read whole.
            m_next = end == RecordStore::PutStatus::Conflict && conflicted ? 0 : m_next;
            conflicted = end == RecordStore::PutStatus::Conflict;
        }
        timer.expires_after(backoff.next(m_random));
        co_await timer.async_wait(Asio::as_tuple(Asio::use_awaitable));
    }
    co_return std::nullopt;
}

} // namespace Guavalock
