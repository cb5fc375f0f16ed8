#pragma once

#include "Batching/BatchQueue.h"
#include "Batching/PieceResult.h"
#include "Batching/ResultOutbox.h"
#include "Batching/StageCodec.h"
#include "Fleet/BatchTerms.h"
#include "Fleet/TargetReport.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Guavalock
{

class BatchWorker;
class CatalogueTable;
class FleetTable;
class Metrics;
class RepeatBudget;

/// Batches the pieces of all daemons for the targets of the services that this daemon owns.
///
/// A target gets one call at a time. While a target is idle and pieces wait, they are sent; under load, batches grow by themselves.
/// Members are callable from any thread.
class BatchOwner
{
public:
    struct Parts {
        const Clock &clock;
        CatalogueTable &catalogue;
        FleetTable &fleet;
        RepeatBudget &budget;
        const StageCodec &codec;
        Metrics &metrics;
    };

    BatchOwner(boost::asio::any_io_executor executor, Parts parts, ResultOutbox::Deliver deliver);
    ~BatchOwner();

    void submit(std::string origin, std::vector<Piece> pieces);

    /// Nobody waits for a request's pieces any more.
    void cancel(std::string origin, std::string requestId);

    /// Frees results at their makers.
    void release(std::vector<std::string> handles);

    /// Gives waiting pieces back, so that they are sent to the next owner. Calls in progress go on.
    void handOver();

    void stop();

private:
    using Workers = std::map<std::string, std::shared_ptr<BatchWorker>>;

    struct Service {
        BatchQueue queue;
        Workers workers; ///< By the target's id.
        double batch = 0; ///< Pieces that calls have lately carried while more waited; zero while none were held back.
    };

    void add(const std::string &origin, std::vector<Piece> pieces);

    /// Returns how a service's targets take calls, or nothing when it has no stages.
    std::optional<BatchTerms> batchTerms(const std::string &service) const;

    /// Returns whether a piece that begins a request's stages would come too late after what waits already.
    bool hopeless(const Piece &piece, Clock::TimePoint now);

    void drop(const std::string &origin, const std::string &requestId);
    void free(const std::vector<std::string> &handles);

    /// Sends what can be sent of one service's queue.
    void pump(const std::string &name);

    /// Returns the idle workers of a service, the fastest first, and forgets those whose target is gone.
    std::vector<std::shared_ptr<BatchWorker>> idleWorkers(Service &service, const std::string &name, Clock::TimePoint now) const;

    void startCall(const std::string &name, const std::shared_ptr<BatchWorker> &worker, std::vector<BatchQueue::Entry> entries,
                   const BatchTerms &terms);
    boost::asio::awaitable<void> call(std::string name, std::shared_ptr<BatchWorker> worker, BatchTerms terms);
    boost::asio::awaitable<void> tellTaken(std::shared_ptr<BatchWorker> worker, Clock::Duration after);
    void logCall(const std::string &name, const BatchWorker &worker, const std::vector<BatchQueue::Entry> &entries,
                 const std::vector<StageCodec::Made> &made, Clock::TimePoint start);
    void answered(const std::string &name, BatchWorker &worker, const std::string &body, const BatchTerms &terms, Clock::TimePoint start);
    void failed(const std::string &name, BatchWorker &worker, TargetReport::End end);
    void requeue(const std::string &name, BatchQueue::Entry entry, bool repeat);
    void give(const std::string &origin, PieceResult result);
    /// Delivers what was given in the current step, and what could not be delivered before.
    void deliverResults();
    boost::asio::awaitable<void> freeLater(std::shared_ptr<BatchWorker> worker);
    boost::asio::awaitable<void> sweep();

    boost::asio::any_io_executor m_strand;
    Parts m_parts;
    std::map<std::string, Service> m_services;
    ResultOutbox m_outbox;
    boost::asio::steady_timer m_sweepTimer;
    bool m_handingOver = false;
    bool m_stopped = false;
};

} // namespace Guavalock
