#pragma once

#include "FakeServer.h"

#include <atomic>
#include <chrono>
#include <map>
#include <mutex>
#include <set>
#include <string>

namespace Guavalock
{

/// A stand-in for one target of the users' platform: a plain service, a model engine that streams, and a stage engine.
///
/// The path decides: batches and frees as the platform has them; requests whose path holds "stream" get events.
class FakeFleetTarget
{
public:
    enum class Fault {
        None,
        Reset, ///< The connection ends after the request has run, without an answer.
        Cut, ///< The answer ends in the middle.
        Refuse, ///< The request is not run, and the answer says so.
        Error, ///< The answer is a failure of the target's own.
        Unsigned, ///< The answer lacks the signature.
        Foreign, ///< The answer is for another request.
    };

    FakeFleetTarget(const boost::asio::any_io_executor &strand, std::uint16_t port, std::string id);

    void start();

    /// Sets the fault of the next requests, and how many of them have it. Callable from any thread.
    void setFault(Fault fault, std::size_t requests);

    /// Sets how long a request or a batch takes. Callable from any thread.
    void setWork(std::chrono::milliseconds work);

    /// Returns how often each request has run here, by its id.
    std::map<std::string, std::size_t> runs() const;

    /// Returns the most and the mean pieces of its batches.
    std::size_t largestBatch() const;
    std::size_t batches() const;

    /// Returns how many results lie here.
    std::size_t results() const;

    /// Returns how many arrivals there were.
    std::size_t arrivals() const;

    /// Returns how many connections are open here.
    std::size_t connections() const;

    /// Returns the headers of the last request as text.
    std::string lastHeaders() const;

private:
    boost::asio::awaitable<bool> handle(FakeServer::Socket &socket, FakeServer::Request request);
    boost::asio::awaitable<bool> batch(FakeServer::Socket &socket, const FakeServer::Request &request);
    void free(const FakeServer::Request &request);
    boost::asio::awaitable<bool> answer(FakeServer::Socket &socket, const FakeServer::Request &request, Fault fault);
    boost::asio::awaitable<bool> stream(FakeServer::Socket &socket, const FakeServer::Request &request, Fault fault);
    boost::asio::awaitable<void> work();
    Fault takeFault();
    FakeServer::Response signedAnswer(const FakeServer::Request &request, unsigned status, std::string body) const;

    FakeServer m_server;
    std::uint16_t m_port;
    std::string m_id;
    mutable std::mutex m_mutex;
    std::map<std::string, std::size_t> m_runs;
    std::set<std::string> m_results;
    std::string m_lastHeaders;
    Fault m_fault = Fault::None;
    std::size_t m_faults = 0;
    std::chrono::milliseconds m_work{2};
    std::size_t m_largestBatch = 0;
    std::size_t m_batches = 0;
    std::size_t m_arrivals = 0;
    std::size_t m_lastResult = 0;
};

} // namespace Guavalock
