#pragma once

#include "Decisions/LoadReport.h"
#include "FakeServer.h"
#include "FakeTargetSettings.h"

#include <boost/json/object.hpp>

#include <map>
#include <mutex>
#include <random>
#include <set>
#include <string>

namespace Guavalock
{

/// A fake model engine, pool member or plain service with injectable faults.
///
/// A request body that contains the word POISON crashes the target: it closes every connection, then restarts cold with a new
/// incarnation.
class FakeTarget
{
public:
    struct Counts {
        std::size_t calls = 0;
        std::size_t completed = 0;
        std::size_t cancelled = 0;
        std::size_t deaths = 0;
        std::size_t coldExceeded = 0; ///< Calls received above the concurrency limit while cold.
        std::size_t maxConcurrent = 0;
        std::map<std::string, std::size_t> executionsByKey;
        std::set<std::string> executedRequestIds; ///< Ids of the requests with at least one executed call.
    };

    FakeTarget(const boost::asio::any_io_executor &executor, FakeTargetSettings settings);

    void start();

    /// Crashes the target and restarts it after the given time. Thread-safe.
    void kill(std::chrono::milliseconds downTime);

    /// Makes the target cold without a new incarnation. Thread-safe.
    void turnCold();

    Counts counts() const;

private:
    using Socket = FakeServer::Socket;
    using Request = FakeServer::Request;

    /// Scope of a running call. It ends before the response is sent, so that the next call of a caller that has its response does
    /// not count as concurrent.
    class ActiveCall
    {
    public:
        explicit ActiveCall(FakeTarget &target);
        ~ActiveCall();
        void end();

    private:
        FakeTarget &m_target;
        bool m_ended = false;
    };

    struct CallResponse {
        std::string attemptId;
        std::string body;
    };

    boost::asio::awaitable<bool> handle(Socket &socket, Request request);
    boost::asio::awaitable<bool> serveCall(Socket &socket, Request request, ActiveCall &call);
    boost::asio::awaitable<bool> sendResponse(Socket &socket, CallResponse callResponse, ActiveCall &call);
    boost::asio::awaitable<bool> sendStream(Socket &socket, const std::string &attemptId, boost::json::object body, ActiveCall &call);
    boost::asio::awaitable<void> sleep(std::chrono::milliseconds time);
    boost::asio::awaitable<void> crashFor(std::chrono::milliseconds downTime);
    std::string responseBody(const boost::json::object &body) const;
    std::string event(const std::string &attemptId, const std::string &prompt, std::size_t position) const;
    boost::asio::awaitable<bool> handleControl(Socket &socket, const Request &request);
    LoadReport report() const;
    bool occurs(double probability);
    void beginIncarnation();
    void recordCallStart();
    void recordExecution(const Request &request);

    boost::asio::any_io_executor m_strand;
    FakeTargetSettings m_settings;
    FakeServer m_server;
    std::mt19937_64 m_random;
    std::uint64_t m_incarnation = 0;
    std::size_t m_coldCallsLeft = 0;
    std::size_t m_running = 0;
    bool m_crashed = false;
    CallResponse m_lastResponse;
    std::string m_lastStreamId;
    mutable std::mutex m_mutex; ///< Guards m_counts, which tests read from other threads.
    Counts m_counts;
};

} // namespace Guavalock
