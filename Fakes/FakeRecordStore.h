#pragma once

#include "FakeServer.h"

#include <atomic>
#include <map>
#include <string>
#include <vector>

namespace Guavalock
{

/// A stand-in for the platform's store: keyed topics with offsets, long reads, outages and forgotten history.
class FakeRecordStore
{
public:
    FakeRecordStore(const boost::asio::any_io_executor &strand, std::uint16_t port);

    void start();

    /// Writes a record, or drops the key when the value is empty. Callable from any thread.
    void put(const std::string &topic, const std::string &key, const std::string &value);

    /// During an outage calls get no answer. Callable from any thread.
    void setOutage(bool outage);

    /// Forgets all records but the newest of each key. Callable from any thread.
    void forget();

    std::size_t calls() const;

private:
    struct Topic {
        std::vector<std::string> records; ///< Framed as on the wire, from the first kept offset on.
        std::uint64_t first = 0;
        std::map<std::string, std::pair<std::uint64_t, std::string>> newest;
    };

    boost::asio::awaitable<bool> handle(FakeServer::Socket &socket, FakeServer::Request request);
    boost::asio::awaitable<bool> read(FakeServer::Socket &socket, Topic &topic, const std::string &target);
    boost::asio::awaitable<bool> newest(FakeServer::Socket &socket, const Topic &topic);
    static void append(Topic &topic, const std::string &key, const std::string &value);

    FakeServer m_server;
    std::map<std::string, Topic> m_topics;
    std::atomic<bool> m_outage{false};
    std::atomic<std::size_t> m_calls{0};
};

} // namespace Guavalock
