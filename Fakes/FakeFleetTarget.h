#pragma once

#include "FakeServer.h"

#include <atomic>
#include <chrono>
#include <deque>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace Guavalock
{

/// A fake target of the platform, which acts as a plain service, a streaming model engine and a stage engine.
///
/// The request path selects the role: `/stage-run` and `/stage-free` run batches and release results as the platform's stage
/// engines do, and a path that contains "stream" is answered with events.
class FakeFleetTarget
{
public:
    enum class Fault {
        None,
        Reset, ///< Executes the request and closes the connection without a response.
        Cut, ///< Closes the connection in the middle of the response.
        Refuse, ///< Responds that the request was not executed.
        Error, ///< Executes the request and responds with an internal error.
        Unsigned, ///< Omits the signature header.
        Foreign, ///< Responds with the attempt id of another request.
        ForeignRefusal, ///< Executes the request and responds that another one was not executed.
        Stall, ///< Sends one event of a stream, then comments without end.
        Endless, ///< Sends bytes without end: in a stream within an event, otherwise in the body.
        PartialEnd, ///< Ends a stream correctly after half an event.
        EndlessHead, ///< Sends headers without end; like the next six also to batches and calls that free results.
        EndlessStatusLine,
        EndlessInterim, ///< Interim responses.
        EndlessChunkHeader,
        EndlessTrailer,
        EndlessChunks, ///< Chunks of 4 KiB, in a stream within an event.
        EndlessByteChunks, ///< Chunks of one byte.
        Repeat, ///< When the next batch has arrived on a connection, sends the previous response again before its own.
        RepeatAtOnce, ///< On arrival, sends the last refusal or batch response of the connection again; then processes the request.
        RefuseById, ///< Responds with the request's attempt id that the request was not executed.
        AnonymousRefusal, ///< Executes the request and responds without an attempt id that a request was not executed.
        FailPieces, ///< Responds to a batch that all its pieces failed.
        ErrorInstead, ///< Executes the request; responds with an internal error, also instead of a stream.
        RejectionInstead, ///< As above, with a client error.
        DocumentInstead, ///< As above, with a complete document that is no stream.
        EmptyInstead, ///< As above, with an empty response.
        NoContentInstead, ///< As above, with status 204.
        TimeoutInstead, ///< As above, with status 408, which clients take for a statement that the request was not executed.
        TooManyInstead, ///< As above, with status 429.
        UnavailableInstead, ///< As above, with status 503.
        CutHead, ///< Closes the connection within the head of the response, after the length given by setHeadLength().
        UntilClose, ///< Sends a response without a length or chunks, which ends with its connection.
        UntilCloseEmpty, ///< As above, but closes the connection after the head.
        UntilClosePartial, ///< As above, but closes the connection in the middle of the body, within an event.
        UntilCloseReset, ///< As above, but resets the connection there.
    };

    FakeFleetTarget(const boost::asio::any_io_executor &strand, std::uint16_t port, std::string id);

    void start();

    /// Applies a fault to the given number of subsequent requests. Thread-safe.
    void setFault(Fault fault, std::size_t requests);

    /// Crashes the target when it begins to respond to a request whose prompt contains a part. It is back after the given time.
    /// Thread-safe.
    void crashOn(const std::string &promptPart, std::chrono::milliseconds downTime);

    /// Returns when requests with the part of crashOn() arrived.
    std::vector<std::chrono::steady_clock::time_point> partArrivals() const;

    /// Returns when the target crashed.
    std::vector<std::chrono::steady_clock::time_point> crashes() const;

    /// Applies each fault to one of the subsequent requests, in order. Thread-safe.
    void setFaults(std::vector<Fault> faults);

    /// As above, for calls that free results.
    void setFreeFaults(std::vector<Fault> faults);

    /// Sets the number of bytes after which Fault::CutHead cuts a response. Thread-safe.
    void setHeadLength(std::size_t bytes);

    /// Makes the target state in every response that it leaves, or no longer. Thread-safe.
    void setLeaving(bool leaving);

    /// Makes the target refuse requests and batches, stating that it wants none for the given time; zero ends the refusals. Thread-safe.
    void setPause(std::chrono::milliseconds pause);

    /// Makes the target state a limit of requests per second in every response; an empty text ends that. Thread-safe.
    void setLimit(std::string requestsPerSecond);

    /// Sets the service time of a request or batch. Thread-safe.
    void setServiceTime(std::chrono::milliseconds serviceTime);

    /// Returns the number of executions of each request, by attempt id.
    std::map<std::string, std::size_t> runs() const;

    /// Returns the entry count of the largest batch.
    std::size_t maxBatchSize() const;
    std::size_t batches() const;

    /// Returns the number of results that have not been released.
    std::size_t results() const;

    /// Returns the request that a result was produced for, or an empty string if it was not produced here.
    std::string resultOwner(const std::string &handle) const;

    /// Returns how many inputs of batch entries were results that this target had produced for another request.
    std::size_t foreignInputs() const;

    /// Returns the number of requests received, including rejected ones.
    std::size_t arrivals() const;

    /// Returns when the requests arrived.
    std::vector<std::chrono::steady_clock::time_point> arrivalTimes() const;

    std::size_t connections() const;

    /// Returns how many bytes endless responses sent.
    std::size_t endlessBytes() const;

    /// Returns how long the longest endless response lasted until the caller closed its connection.
    std::chrono::steady_clock::duration endlessDuration() const;

    /// Returns the request line and headers of the last request.
    std::string lastHeaders() const;

private:
    boost::asio::awaitable<bool> handle(FakeServer::Socket &socket, FakeServer::Request request);
    boost::asio::awaitable<bool> handleBatch(FakeServer::Socket &socket, const FakeServer::Request &request);
    boost::asio::awaitable<bool> handleFree(FakeServer::Socket &socket, const FakeServer::Request &request);
    void releaseResults(const FakeServer::Request &request);
    boost::asio::awaitable<bool> refuseForPause(FakeServer::Socket &socket, const FakeServer::Request &request,
                                                std::chrono::milliseconds pause) const;
    /// Adds the header of a target that leaves.
    FakeServer::Response withStatement(FakeServer::Response response) const;
    boost::asio::awaitable<bool> refuse(FakeServer::Socket &socket, const FakeServer::Request &request, Fault fault);
    boost::asio::awaitable<void> repeatLastResponse(FakeServer::Socket &socket);
    /// Sends a complete response instead of a stream or a regular response.
    boost::asio::awaitable<bool> sendInstead(FakeServer::Socket &socket, const FakeServer::Request &request, Fault fault);
    boost::asio::awaitable<bool> sendTruncatedHead(FakeServer::Socket &socket, const FakeServer::Request &request);
    boost::asio::awaitable<bool> sendUntilClose(FakeServer::Socket &socket, const FakeServer::Request &request, Fault fault);
    boost::asio::awaitable<bool> sendResponse(FakeServer::Socket &socket, const FakeServer::Request &request, Fault fault);
    boost::asio::awaitable<bool> sendStream(FakeServer::Socket &socket, const FakeServer::Request &request, Fault fault);
    /// Sends a text again and again until the caller closes the connection.
    boost::asio::awaitable<bool> sendEndlessly(FakeServer::Socket &socket, std::string head, std::string repeated,
                                               std::chrono::milliseconds pause);
    /// Sends bytes without end in the form that the fault stands for.
    boost::asio::awaitable<bool> sendEndlessForm(FakeServer::Socket &socket, const FakeServer::Request &request, Fault fault);
    /// Returns whether the request has the part of crashOn(), and records its arrival.
    bool hasCrashingPart(const FakeServer::Request &request);
    boost::asio::awaitable<void> crash();
    boost::asio::awaitable<void> simulateWork();
    Fault consumeFault(std::deque<Fault> &faults);
    /// Returns the head of a signed response; framing lists the header lines that determine the length of the body.
    std::string responseHead(const FakeServer::Request &request, const std::string &framing) const;
    std::string eventText(const FakeServer::Request &request, int number) const;
    FakeServer::Response signedResponse(const FakeServer::Request &request, unsigned status, std::string body) const;

    FakeServer m_server;
    std::uint16_t m_port;
    std::string m_id;
    mutable std::mutex m_mutex;
    std::map<std::string, std::size_t> m_executionCounts;
    std::set<std::string> m_storedResults;
    std::string m_lastHeaders;
    std::map<std::uint16_t, FakeServer::Response> m_lastResponses; ///< By the caller's port, which identifies a connection.
    std::map<std::string, std::string> m_resultOwners; ///< The request that each result was produced for, by handle.
    std::size_t m_foreignInputs = 0;
    std::string m_crashingPart;
    std::chrono::milliseconds m_downTime{0};
    std::vector<std::chrono::steady_clock::time_point> m_partArrivals;
    std::vector<std::chrono::steady_clock::time_point> m_crashes;
    std::deque<Fault> m_faults;
    std::deque<Fault> m_freeFaults;
    std::size_t m_headLength = 0;
    std::size_t m_endlessBytes = 0;
    std::chrono::steady_clock::duration m_endlessDuration{};
    std::chrono::milliseconds m_serviceTime{2};
    std::chrono::milliseconds m_pause{0};
    bool m_leaving = false;
    std::string m_limit; ///< As stated in responses; empty for none.
    std::size_t m_maxBatchSize = 0;
    std::size_t m_batchCount = 0;
    std::vector<std::chrono::steady_clock::time_point> m_arrivalTimes;
    std::size_t m_lastResultNumber = 0;
};

} // namespace Guavalock
