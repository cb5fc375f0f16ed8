#include "Batching/BatchDispatcher.h"

#include "Batching/BatchLog.h"
#include "Batching/BatchWorker.h"
#include "Batching/StageCodec.h"
#include "Fleet/AvailabilityRecorder.h"
#include "Fleet/Catalogue.h"
#include "Fleet/CatalogueTable.h"
#include "Fleet/FleetRetryBudget.h"
#include "Fleet/FleetTable.h"
#include "Kernel/Counter.h"
#include "Kernel/Distribution.h"
#include "Kernel/Metrics.h"
#include "Net/HttpClient.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace Guavalock
{

namespace Asio = boost::asio;

namespace
{

using Milliseconds = std::chrono::milliseconds;

constexpr Milliseconds connectTimeout{300}; ///< Far above a network round trip. A target that cannot be connected within it is skipped.
/// Interval for expiring late pieces and re-examining those that wait for a near target or the end of a back-off.
constexpr Milliseconds sweepInterval{50};
constexpr Milliseconds refusalBackoff{120}; ///< Back-off after a target has refused a call: half the duration of a call.
constexpr Milliseconds callTimeoutMargin{400}; ///< Added to twice the expected duration to give the time-out of a call.
/// For so long, a rate of calls and a backlog are used again. Both visit every known target or piece, and are needed for every frame of
/// pieces or results; they change little within a tenth of a call.
constexpr Milliseconds measurementLifetime{20};
constexpr unsigned maxAttempts = 4; ///< Maximum calls per piece. A request that needs more has already missed its objective.
/// Requests with less slack than this are refused, because the duration of later stages varies by as much.
constexpr Milliseconds refusalHeadroom{100};
constexpr unsigned httpOk = 200;
constexpr std::uint64_t maxStageResponseBytes = 1024 * 1024; ///< Far above the answer to the largest batch.
constexpr double slowThreshold = 2.0; ///< A target whose calls take this many times the configured duration counts as slow.

Clock::Duration expectedTime(const BatchParameters &parameters, std::size_t pieces)
{
    return parameters.fixedCallTime + parameters.perPieceTime * static_cast<int>(pieces);
}

} // namespace

BatchDispatcher::BatchDispatcher(Asio::any_io_executor executor, Dependencies dependencies, ResultOutbox::Deliver deliver)
    : m_strand(Asio::make_strand(std::move(executor)))
    , m_dependencies(dependencies)
    , m_freer(m_strand, dependencies, freerCallbacks())
    , m_outbox(std::move(deliver))
    , m_sweepTimer(m_strand)
{
    Asio::co_spawn(m_strand, sweep(), Asio::detached);
}

BatchDispatcher::~BatchDispatcher() = default;

ResultFreer::Callbacks BatchDispatcher::freerCallbacks()
{
    ResultFreer::Callbacks callbacks;
    callbacks.worker = [this](const SelectedTarget &target) {
        return m_services[target.service].workers.get(target);
    };
    callbacks.hasQueuedPieces = [this](const std::string &service) {
        return !m_services[service].queue.empty();
    };
    callbacks.freed = [this](const std::string &service) {
        if (!m_stopped) {
            dispatch(service);
        }
    };
    return callbacks;
}

void BatchDispatcher::submit(std::string origin, std::vector<Piece> pieces)
{
    Asio::post(m_strand,
               [this, origin = std::move(origin), pieces = std::move(pieces)]() mutable { addPieces(origin, std::move(pieces)); });
}

void BatchDispatcher::cancel(std::string origin, std::string requestId)
{
    Asio::post(m_strand, [this, origin = std::move(origin), requestId = std::move(requestId)] { cancelPieces(origin, requestId); });
}

void BatchDispatcher::free(std::vector<std::string> handles)
{
    Asio::post(m_strand, [this, handles = std::move(handles)] { m_freer.free(handles); });
}

void BatchDispatcher::handOver()
{
    Asio::post(m_strand, [this] {
        m_handingOver = true;
        m_backlogs.clear();
        for (auto &[name, service] : m_services) {
            for (const BatchQueue::Entry &it : service.queue.takeAll()) {
                queueResult(it.origin, {it.piece.number, PieceResult::Outcome::OwnerChanged, {}, {}});
            }
        }
        deliverResults();
    });
}

void BatchDispatcher::stop()
{
    Asio::post(m_strand, [this] {
        m_stopped = true;
        m_sweepTimer.cancel();
    });
}

void BatchDispatcher::addPieces(const std::string &origin, std::vector<Piece> pieces)
{
    const Clock::TimePoint now = m_dependencies.clock.now();
    std::vector<std::string> names;
    for (Piece &it : pieces) {
        if (m_handingOver) {
            queueResult(origin, {it.number, PieceResult::Outcome::OwnerChanged, {}, {}});
            continue;
        }
        const std::string name = it.service;
        m_dependencies.budget.recordRequest(name, now);
        if (it.refusable && willMissObjective(it, now)) {
            queueResult(origin, {it.number, PieceResult::Outcome::Refused, {}, {}});
            continue;
        }
        Service &service = m_services[name];
        service.wait.recordArrival(it.rank, now);
        service.queue.add({std::move(it), origin, now, 0});
        if (std::ranges::find(names, name) == names.end()) {
            names.push_back(name);
        }
    }
    deliverResults();
    for (const std::string &it : names) {
        // The next sweep finds new targets.
        if (m_services[it].workers.mayBeIdle(now)) {
            dispatch(it);
        }
    }
}

std::optional<BatchParameters> BatchDispatcher::batchParameters(const std::string &service) const
{
    const std::shared_ptr<const Catalogue> catalogue = m_dependencies.catalogue.current();
    const ServiceRecord *record = catalogue ? catalogue->service(service) : nullptr;
    return record == nullptr ? std::nullopt : record->batch;
}

bool BatchDispatcher::willMissObjective(const Piece &piece, Clock::TimePoint now)
{
    const std::optional<BatchParameters> found = batchParameters(piece.service);
    Service &service = m_services[piece.service];
    if (!found || service.queue.empty()) {
        return false;
    }
    const QueueWait::Capacity capacity = this->capacity(piece.service, service, *found, now);
    const Clock::Duration expected = service.wait.behind(service.queue.countAhead(piece, *found, now), capacity) + capacity.callTime;
    const bool late = now + expected + refusalHeadroom > piece.softDeadline;
    if (late) {
        BatchLog::logRefusal(piece, {service.queue.size(), service.wait.batchSize(capacity), capacity.callsPerSecond, expected}, now);
    }
    return late;
}

QueueWait::Capacity BatchDispatcher::capacity(const std::string &name, Service &service, const BatchParameters &parameters,
                                              Clock::TimePoint now) const
{
    const Clock::Duration full = expectedTime(parameters, parameters.maxBatchSize);
    if (now - service.rated >= measurementLifetime) {
        service.callsPerSecond = m_dependencies.fleet.callRate(name, full, now);
        service.rated = now;
    }
    return {parameters.maxBatchSize, parameters.fixedCallTime, full, service.callsPerSecond};
}

const std::vector<ServiceBacklog> &BatchDispatcher::backlogs(Clock::TimePoint now)
{
    if (now - m_backlogsMeasured < measurementLifetime) {
        return m_backlogs;
    }
    m_backlogsMeasured = now;
    m_backlogs.clear();
    for (auto &[name, service] : m_services) {
        const std::optional<BatchParameters> parameters = batchParameters(name);
        const bool hasWork = !service.queue.empty() || service.workers.anyBusy();
        if (parameters && hasWork && !m_handingOver) {
            const QueueWait::Capacity capacity = this->capacity(name, service, *parameters, now);
            m_backlogs.push_back(service.wait.backlog(name, service.queue.countByRank(*parameters, now), capacity, now));
        }
    }
    return m_backlogs;
}

void BatchDispatcher::cancelPieces(const std::string &origin, const std::string &requestId)
{
    for (auto &[name, service] : m_services) {
        service.queue.cancel(origin, requestId);
        service.workers.cancel(origin, requestId);
    }
}

void BatchDispatcher::dispatch(const std::string &name)
{
    const std::optional<BatchParameters> found = batchParameters(name);
    Service &service = m_services[name];
    if (!found || service.queue.empty()) {
        return;
    }
    const BatchParameters &parameters = *found;
    const Clock::TimePoint now = m_dependencies.clock.now();
    const auto idle = service.workers.idle(m_dependencies.fleet, name, now);
    const std::map<std::string, std::size_t> targets = service.workers.countByDataCentre();
    for (const std::shared_ptr<BatchWorker> &worker : idle) {
        const double slowdown = worker->slowdown(now);
        const std::size_t others = service.workers.size() > 1 ? service.workers.size() - 1 : 0;
        // A slow target only helps when the other targets would take longer to work off the queue.
        const bool worthwhile = slowdown < slowThreshold
            || static_cast<double>(service.queue.size()) > (slowdown - 1) * static_cast<double>(others * parameters.maxBatchSize);
        if (!worthwhile) {
            continue;
        }
        const std::uint64_t room = worker->storageForCall(parameters.resultCapacityBytes, now);
        BatchParameters callParameters = parameters;
        callParameters.maxBatchSize = worker->nextBatchLimit(parameters.maxBatchSize);
        std::vector<BatchQueue::Entry> entries = service.queue.take(callParameters, {room, worker->target.dataCentre, targets}, now);
        if (!entries.empty()) {
            if (callParameters.maxBatchSize == parameters.maxBatchSize) {
                service.wait.recordCall(entries.size(), service.queue.empty(), parameters.maxBatchSize);
            }
            startCall(name, worker, std::move(entries), parameters);
        }
    }
}

void BatchDispatcher::startCall(const std::string &name, const std::shared_ptr<BatchWorker> &worker, std::vector<BatchQueue::Entry> entries,
                                const BatchParameters &parameters)
{
    m_dependencies.fleet.recordBatch(worker->target.id, m_dependencies.clock.now());
    worker->busy = true;
    worker->inFlight = std::move(entries);
    ++worker->calls;
    m_dependencies.metrics.counter("stage_calls_total{service=\"" + name + "\"}").add();
    m_dependencies.metrics.counter("stage_pieces_total{service=\"" + name + "\"}").add(worker->inFlight.size());
    Asio::co_spawn(m_strand, call(name, worker, parameters), Asio::detached);
    if (worker->startsImmediately(m_dependencies.clock.now())
        && std::ranges::any_of(worker->inFlight, [](const BatchQueue::Entry &it) { return !it.piece.inputs.empty(); })) {
        Asio::co_spawn(m_strand, reportInputsRead(worker, parameters.fixedCallTime / 2), Asio::detached);
    }
}

Asio::awaitable<void> BatchDispatcher::reportInputsRead(std::shared_ptr<BatchWorker> worker, Clock::Duration after)
{
    const std::uint64_t call = worker->calls;
    Asio::steady_timer timer(m_strand, after);
    co_await timer.async_wait(Asio::as_tuple(Asio::use_awaitable));
    if (worker->calls != call || !worker->busy) {
        co_return;
    }
    for (const BatchQueue::Entry &it : worker->inFlight) {
        if (!it.piece.inputs.empty()) {
            queueResult(it.origin, {it.piece.number, PieceResult::Outcome::InputsRead, {}, {}});
        }
    }
    deliverResults();
}

Asio::awaitable<void> BatchDispatcher::call(std::string name, std::shared_ptr<BatchWorker> worker, BatchParameters parameters)
{
    const Clock::TimePoint start = m_dependencies.clock.now();
    std::vector<Piece> pieces;
    for (BatchQueue::Entry &it : worker->inFlight) {
        ++it.attempts;
        pieces.push_back(it.piece);
    }
    const Clock::Duration expected = expectedTime(parameters, pieces.size());
    if (!worker->batchClient) {
        worker->batchClient = std::make_unique<HttpClient>(m_strand, worker->target.address, maxStageResponseBytes);
    }
    HttpClient::Request request;
    request.method = "POST";
    request.path = m_dependencies.codec.batchPath();
    request.body = m_dependencies.codec.encodeBatch(pieces, start);
    request.headers.push_back(m_dependencies.codec.expectedTargetHeader(worker->target.id));
    const double timeoutFactor = 2 * std::max(worker->slowdown(start), 1.0);
    const auto limit = std::chrono::duration_cast<Milliseconds>(expected * timeoutFactor + callTimeoutMargin);
    const auto answer = co_await worker->batchClient->call(std::move(request), connectTimeout, limit);
    const Clock::TimePoint now = m_dependencies.clock.now();
    worker->busy = false;
    const bool reused = worker->batchClient->reused();
    bool attributed = false;
    if (answer && answer->status == httpOk) {
        worker->recordCallDuration(now - start, expected, now);
        worker->recordCallSuccess();
        m_dependencies.metrics.distribution("stage_call_seconds").observe(now - start);
        attributed = handleResponse(name, *worker, answer->body, parameters, start);
    } else if (answer) {
        worker->backoffUntil = now + refusalBackoff;
        handleFailure(name, *worker, AttemptReport::Outcome::Refused);
    } else if (worker->batchClient->failure() == HttpClient::Failure::NotConnected) {
        handleFailure(name, *worker, AttemptReport::Outcome::Unreachable);
    } else if (worker->batchClient->failure() == HttpClient::Failure::TimedOut) {
        worker->recordCallDuration(now - start, expected, now);
        handleFailure(name, *worker, AttemptReport::Outcome::TimedOut);
    } else {
        handleFailure(name, *worker, AttemptReport::Outcome::ConnectionLost);
    }
    if (answer && (attributed || !reused)) {
        AvailabilityStatement statement = m_dependencies.codec.parseAvailability(answer->status, answer->headers);
        statement.requestSentAt = start;
        AvailabilityRecorder(m_dependencies.fleet, m_dependencies.metrics)
            .record(worker->target, statement, "batch-call", m_dependencies.clock.now());
    }
    if (!attributed) {
        // Another response may follow on the connection. The next call would take it for its own.
        worker->batchClient.reset();
    }
    deliverResults();
    if (!m_stopped) {
        dispatch(name);
    }
}

bool BatchDispatcher::handleResponse(const std::string &name, BatchWorker &worker, const std::string &body,
                                     const BatchParameters &parameters, Clock::TimePoint start)
{
    const auto responses = m_dependencies.codec.parseBatchResponse(body, worker.inFlight.size());
    if (!responses) {
        handleFailure(name, worker, AttemptReport::Outcome::Failed);
        return false;
    }
    std::vector<std::string> handles;
    for (const StageCodec::PieceResponse &it : *responses) {
        if (it.outcome == StageCodec::PieceResponse::Outcome::Completed) {
            handles.push_back(it.handle);
        }
    }
    if (!worker.recordHandles(handles)) {
        handleFailure(name, worker, AttemptReport::Outcome::ConnectionLost);
        return false;
    }
    const Clock::TimePoint now = m_dependencies.clock.now();
    std::vector<std::string> unwanted;
    bool noRoom = false;
    std::uint64_t storedBytes = 0;
    std::vector<BatchQueue::Entry> entries = std::move(worker.inFlight);
    worker.inFlight.clear();
    BatchLog::logCall(name, worker, {entries, *responses, start, m_services[name].queue.size()}, now);
    for (std::size_t it = 0; it < entries.size(); ++it) {
        BatchQueue::Entry &entry = entries[it];
        const StageCodec::PieceResponse &result = responses->at(it);
        switch (result.outcome) {
        case StageCodec::PieceResponse::Outcome::Completed:
            worker.storage.add(result.handle, entry.piece.resultBytes, now + parameters.resultLifetime);
            storedBytes += entry.piece.resultBytes;
            if (entry.origin.empty()) {
                unwanted.push_back(result.handle);
            } else {
                queueResult(entry.origin, {entry.piece.number, PieceResult::Outcome::Completed, result.handle, worker.target.dataCentre});
            }
            break;
        case StageCodec::PieceResponse::Outcome::DeadlineExceeded:
            queueResult(entry.origin, {entry.piece.number, PieceResult::Outcome::DeadlineExceeded, {}, {}});
            break;
        case StageCodec::PieceResponse::Outcome::InputsMissing:
            queueResult(entry.origin, {entry.piece.number, PieceResult::Outcome::InputsMissing, {}, {}});
            break;
        case StageCodec::PieceResponse::Outcome::OutOfStorage:
            noRoom = true;
            requeue(name, std::move(entry), true);
            break;
        case StageCodec::PieceResponse::Outcome::Failed:
            requeue(name, std::move(entry), m_dependencies.budget.tryAcquire(name, now));
            break;
        }
    }
    if (noRoom) {
        worker.recordStorageExhausted(storedBytes, now);
    }
    m_dependencies.fleet.recordAttempt(worker.target.id, {AttemptReport::Outcome::Answered, {}, std::nullopt}, parameters.fixedCallTime,
                                       now);
    m_freer.free(unwanted);
    return !handles.empty();
}

void BatchDispatcher::handleFailure(const std::string &name, BatchWorker &worker, AttemptReport::Outcome outcome)
{
    const Clock::TimePoint now = m_dependencies.clock.now();
    m_dependencies.fleet.recordAttempt(worker.target.id, {outcome, {}, std::nullopt}, {}, now);
    m_dependencies.metrics.counter("stage_call_failures_total{service=\"" + name + "\"}").add();
    BatchLog::logFailure(name, worker, outcome);
    std::vector<BatchQueue::Entry> entries = std::move(worker.inFlight);
    worker.inFlight.clear();
    // A call that the target refused, or that did not reach it, does not count as an attempt. Other retries use the retry budget.
    const bool tried = outcome != AttemptReport::Outcome::Refused && outcome != AttemptReport::Outcome::Unreachable;
    if (outcome != AttemptReport::Outcome::Refused) {
        worker.recordCallFailure();
    }
    const bool retry = !tried || m_dependencies.budget.tryAcquire(name, now);
    for (BatchQueue::Entry &it : entries) {
        it.attempts -= tried ? 0 : 1;
        requeue(name, std::move(it), retry);
    }
}

void BatchDispatcher::requeue(const std::string &name, BatchQueue::Entry entry, bool retry)
{
    if (entry.origin.empty()) {
        return;
    }
    if (entry.attempts >= maxAttempts || !retry) {
        queueResult(entry.origin, {entry.piece.number, PieceResult::Outcome::Failed, {}, {}});
        return;
    }
    m_services[name].queue.add(std::move(entry));
}

void BatchDispatcher::queueResult(const std::string &origin, PieceResult result)
{
    if (!origin.empty()) {
        m_outbox.add(origin, std::move(result), m_dependencies.clock.now());
    }
}

void BatchDispatcher::deliverResults()
{
    if (!m_outbox.empty()) {
        const Clock::TimePoint now = m_dependencies.clock.now();
        m_freer.free(m_outbox.flush(backlogs(now), now));
    }
}

Asio::awaitable<void> BatchDispatcher::sweep()
{
    while (!m_stopped) {
        m_sweepTimer.expires_after(sweepInterval);
        co_await m_sweepTimer.async_wait(Asio::as_tuple(Asio::use_awaitable));
        const Clock::TimePoint now = m_dependencies.clock.now();
        for (auto &[name, service] : m_services) {
            if (service.queue.empty()) {
                continue;
            }
            for (const BatchQueue::Entry &it : service.queue.takeExpired(now)) {
                queueResult(it.origin, {it.piece.number, PieceResult::Outcome::DeadlineExceeded, {}, {}});
            }
            dispatch(name);
        }
        deliverResults();
    }
}

} // namespace Guavalock
