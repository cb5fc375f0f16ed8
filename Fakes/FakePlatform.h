#pragma once

#include "FakeServer.h"

#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <deque>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace Guavalock
{

/// A fake of the platform's log service.
///
/// Serves streams of records with offsets, limits the append rate, expires old records, and can simulate outages and lost
/// responses.
class FakePlatform
{
public:
    FakePlatform(const boost::asio::any_io_executor &executor, std::uint16_t port);

    void start();

    /// Appends a configuration document as an accepted operator change. Must be called before start() or on the strand.
    void publish(const std::string &path, const std::string &text);

    /// Starts or ends an outage, during which connections are closed without a response. Thread-safe.
    void setOutage(bool outage);

    /// Sets the probability that an append takes effect but its response is lost. Thread-safe.
    void setResponseLossRate(double probability);

    std::size_t recordCount(const std::string &stream);

private:
    struct Record {
        std::uint64_t offset = 0;
        std::int64_t timeMs = 0;
        std::string id;
        std::string data;
    };

    struct Stream {
        std::deque<Record> records;
        std::uint64_t nextOffset = 0;
        std::set<boost::asio::steady_timer *> readers; ///< Timers of pending long-poll reads, cancelled when a record is appended.
    };

    boost::asio::awaitable<bool> handle(FakeServer::Socket &socket, FakeServer::Request request);
    boost::asio::awaitable<bool> append(FakeServer::Socket &socket, const std::string &name, const std::string &body);
    boost::asio::awaitable<bool> read(FakeServer::Socket &socket, const std::string &name, std::uint64_t from,
                                      std::chrono::milliseconds wait);
    bool consumeRateToken();
    void appendRecord(const std::string &name, Stream &log, std::string id, std::string data);
    void removeExpired(Stream &stream, std::int64_t nowMs);
    static void wakeReaders(Stream &stream);

    boost::asio::any_io_executor m_strand;
    FakeServer m_server;
    std::map<std::string, Stream> m_streams;
    std::map<std::string, std::uint64_t> m_subtreeVersions; ///< Current versions of the subtrees changed by publish().
    std::atomic<bool> m_outage{false};
    std::atomic<double> m_responseLossRate{0};
    std::mt19937_64 m_random{7};
    double m_rateTokens = 0;
    std::chrono::steady_clock::time_point m_tokensUpdatedAt;
    std::atomic<std::size_t> m_configurationRecordCount{0};
    std::atomic<std::size_t> m_keyRecordCount{0};
};

} // namespace Guavalock
