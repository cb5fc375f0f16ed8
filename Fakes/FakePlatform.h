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

/// A stand-in for the platform's log: streams of records with offsets, a rate limit, retention, outages and lost answers.
class FakePlatform
{
public:
    FakePlatform(const boost::asio::any_io_executor &executor, std::uint16_t port);

    void start();

    /// Appends a configuration document as an operator's accepted change. Call before start, or on the strand.
    void publish(const std::string &path, const std::string &text);

    /// During an outage every call is dropped without an answer. Callable from any thread.
    void setOutage(bool outage);

    /// Loses the answers of a share of the appends, after they have taken effect. Callable from any thread.
    void setLostAnswers(double share);

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
        std::uint64_t next = 0;
        std::set<boost::asio::steady_timer *> readers; ///< Cancelled to wake those that wait for a record.
    };

    boost::asio::awaitable<bool> handle(FakeServer::Socket &socket, FakeServer::Request request);
    boost::asio::awaitable<bool> append(FakeServer::Socket &socket, const std::string &name, const std::string &body);
    boost::asio::awaitable<bool> read(FakeServer::Socket &socket, const std::string &name, std::uint64_t from,
                                      std::chrono::milliseconds wait);
    bool takeToken();
    void add(const std::string &name, Stream &log, std::string id, std::string data);
    void prune(Stream &stream, std::int64_t nowMs);
    static void wake(Stream &stream);

    boost::asio::any_io_executor m_strand;
    FakeServer m_server;
    std::map<std::string, Stream> m_streams;
    std::map<std::string, std::uint64_t> m_versions; ///< Of the subtrees that publish has changed.
    std::atomic<bool> m_outage{false};
    std::atomic<double> m_lostAnswers{0};
    std::mt19937_64 m_random{7};
    double m_tokens = 0;
    std::chrono::steady_clock::time_point m_tokensAt;
    std::atomic<std::size_t> m_configurationRecords{0};
    std::atomic<std::size_t> m_keyRecords{0};
};

} // namespace Guavalock
