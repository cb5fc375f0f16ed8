#pragma once

#include "FakeServer.h"

#include <atomic>
#include <map>
#include <string>
#include <vector>

namespace Guavalock
{

/// A fake of the platform's record store.
///
/// Serves keyed topics with offsets and long-poll reads, and can simulate outages and compaction.
class FakeRecordStore
{
public:
    FakeRecordStore(const boost::asio::any_io_executor &strand, std::uint16_t port);

    void start();

    /// Appends a record; an empty value deletes the key. Thread-safe.
    void put(const std::string &topic, const std::string &key, const std::string &value);

    /// Starts or ends an outage, during which connections are closed without a response. Thread-safe.
    void setOutage(bool outage);

    /// Discards the log of every topic. The latest record of each key remains readable. Thread-safe.
    void forget();

    /// Keeps a copy of all topics. Thread-safe.
    void saveCopy();

    /// Replaces all topics with the copy and raises the era. Thread-safe.
    void restoreCopy();

    std::size_t calls() const;

    /// Returns the latest value of a key, or an empty string if it has none. Thread-safe; waits for the store's thread.
    std::string latest(const std::string &topic, const std::string &key);

    /// Processes further writes with a condition, but closes their connections without a response. Thread-safe.
    void loseResponses(std::size_t count);

private:
    struct Topic {
        std::vector<std::string> records; ///< Wire-format records, starting at firstOffset.
        std::uint64_t firstOffset = 0; ///< Offset of the oldest record that is kept.
        std::map<std::string, std::pair<std::uint64_t, std::string>> latestByKey; ///< Offset and value.
    };

    boost::asio::awaitable<bool> handle(FakeServer::Socket &socket, FakeServer::Request request);
    boost::asio::awaitable<bool> read(FakeServer::Socket &socket, Topic &topic, const std::string &target);
    boost::asio::awaitable<bool> readLatest(FakeServer::Socket &socket, const Topic &topic);
    FakeServer::Response withEra(FakeServer::Response response) const;
    static void append(Topic &topic, const std::string &key, const std::string &value);

    FakeServer m_server;
    std::map<std::string, Topic> m_topics;
    std::map<std::string, Topic> m_copy;
    std::uint64_t m_era = 1;
    std::atomic<bool> m_outage{false};
    std::atomic<std::size_t> m_calls{0};
    std::atomic<std::size_t> m_lostResponses{0};
};

} // namespace Guavalock
