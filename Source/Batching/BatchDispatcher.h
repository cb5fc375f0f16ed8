#pragma once

#include "Admission/QueueWait.h"
#include "Batching/BatchDependencies.h"
#include "Batching/BatchQueue.h"
#include "Batching/BatchWorkers.h"
#include "Batching/PieceResult.h"
#include "Batching/ResultFreer.h"
#include "Batching/ResultOutbox.h"
#include "Batching/StageCodec.h"
#include "Fleet/AttemptReport.h"
#include "Fleet/BatchParameters.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Guavalock
{

class BatchWorker;

/// Batches pieces from all daemons for the targets of the services that this daemon owns.
///
/// Each target gets one call at a time. Queued pieces are sent as soon as a target is idle, so batches grow with the load.
/// All public members are thread-safe.
class BatchDispatcher
{
public:
    using Dependencies = BatchDependencies;

    BatchDispatcher(boost::asio::any_io_executor executor, Dependencies dependencies, ResultOutbox::Deliver deliver);
    ~BatchDispatcher();

    void submit(std::string origin, std::vector<Piece> pieces);

    /// Cancels the pieces of a request. Results of pieces that are already being processed are freed.
    void cancel(std::string origin, std::string requestId);

    /// Frees results on the targets that hold them, except on targets that leave, want a pause or have no calls left for it,
    /// where the results expire.
    void free(std::vector<std::string> handles);

    /// Returns queued pieces to the daemons that submitted them, which send them to the next owner. Calls in progress continue.
    void handOver();

    void stop();

private:
    struct Service {
        BatchQueue queue;
        BatchWorkers workers;
        QueueWait wait;
        double callsPerSecond = 0; ///< Of all usable targets together, as of `rated`.
        Clock::TimePoint rated;
    };

    void addPieces(const std::string &origin, std::vector<Piece> pieces);

    /// Returns the batching parameters of a service, or nothing when it does not process stages.
    std::optional<BatchParameters> batchParameters(const std::string &service) const;

    /// Returns whether the result of a request's first piece would be too late for the request's objective, given the current queue.
    bool willMissObjective(const Piece &piece, Clock::TimePoint now);

    QueueWait::Capacity capacity(const std::string &name, Service &service, const BatchParameters &parameters, Clock::TimePoint now) const;

    /// Returns the backlogs of the services that this daemon batches and that have work. None while it hands its pieces over.
    const std::vector<ServiceBacklog> &backlogs(Clock::TimePoint now);

    ResultFreer::Callbacks freerCallbacks();

    void cancelPieces(const std::string &origin, const std::string &requestId);

    /// Sends queued pieces of one service to its idle targets.
    void dispatch(const std::string &name);

    void startCall(const std::string &name, const std::shared_ptr<BatchWorker> &worker, std::vector<BatchQueue::Entry> entries,
                   const BatchParameters &parameters);
    boost::asio::awaitable<void> call(std::string name, std::shared_ptr<BatchWorker> worker, BatchParameters parameters);
    boost::asio::awaitable<void> reportInputsRead(std::shared_ptr<BatchWorker> worker, Clock::Duration after);
    /// Processes a response. Returns whether new results show that it belongs to the call in progress.
    bool handleResponse(const std::string &name, BatchWorker &worker, const std::string &body, const BatchParameters &parameters,
                        Clock::TimePoint start);
    void handleFailure(const std::string &name, BatchWorker &worker, AttemptReport::Outcome outcome);
    void requeue(const std::string &name, BatchQueue::Entry entry, bool retry);
    void queueResult(const std::string &origin, PieceResult result);
    /// Delivers queued results, including those that could not be delivered earlier.
    void deliverResults();
    boost::asio::awaitable<void> sweep();

    boost::asio::any_io_executor m_strand;
    Dependencies m_dependencies;
    std::map<std::string, Service> m_services;
    ResultFreer m_freer;
    ResultOutbox m_outbox;
    std::vector<ServiceBacklog> m_backlogs; ///< As of `m_backlogsMeasured`.
    Clock::TimePoint m_backlogsMeasured;
    boost::asio::steady_timer m_sweepTimer;
    bool m_handingOver = false;
    bool m_stopped = false;
};

} // namespace Guavalock
