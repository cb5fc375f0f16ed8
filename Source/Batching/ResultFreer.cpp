#include "Batching/ResultFreer.h"

#include "Batching/BatchWorker.h"
#include "Batching/StageCodec.h"
#include "Fleet/AvailabilityRecorder.h"
#include "Fleet/FleetTable.h"
#include "Kernel/Counter.h"
#include "Kernel/Metrics.h"
#include "Net/HttpClient.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <utility>

namespace Guavalock
{

namespace Asio = boost::asio;

namespace
{

using Milliseconds = std::chrono::milliseconds;

constexpr Milliseconds connectTimeout{300}; ///< Far above a network round trip.
constexpr Milliseconds freeTimeout{1'000}; ///< Unfreed results expire on the target after a few seconds.
constexpr Milliseconds freeDelay{15}; ///< Collects handles so that one call frees several. Short compared with a batch call.
constexpr unsigned httpOk = 200;
constexpr std::uint64_t maxResponseBytes = 1024 * 1024; ///< Far above any answer.

} // namespace

ResultFreer::ResultFreer(Asio::any_io_executor strand, BatchDependencies dependencies, Callbacks callbacks)
    : m_strand(std::move(strand))
    , m_dependencies(dependencies)
    , m_callbacks(std::move(callbacks))
{
}

void ResultFreer::free(const std::vector<std::string> &handles)
{
    for (const std::string &handle : handles) {
        const std::optional<Endpoint> address = m_dependencies.codec.storingTarget(handle);
        const std::optional<SelectedTarget> target = address ? m_dependencies.fleet.findByAddress(*address) : std::nullopt;
        if (!target) {
            continue; // The target is no longer known, so its results no longer exist.
        }
        const std::shared_ptr<BatchWorker> worker = m_callbacks.worker(*target);
        worker->handlesToFree.push_back(handle);
        if (!worker->freeing) {
            worker->freeing = true;
            Asio::co_spawn(m_strand, sendCalls(worker), Asio::detached);
        }
    }
}

bool ResultFreer::mayFree(const BatchWorker &worker, Clock::TimePoint now) const
{
    FleetTable &fleet = m_dependencies.fleet;
    const std::string &id = worker.target.id;
    if (!fleet.isAvailable(id, now)) {
        return false;
    }
    // Pieces that wait need the calls that a limited target takes.
    return !fleet.isLimited(id) || (!m_callbacks.hasQueuedPieces(worker.target.service) && fleet.mayCall(id, now));
}

Asio::awaitable<void> ResultFreer::sendCalls(std::shared_ptr<BatchWorker> worker)
{
    Asio::steady_timer timer(m_strand, freeDelay);
    co_await timer.async_wait(Asio::as_tuple(Asio::use_awaitable));
    while (!worker->handlesToFree.empty()) {
        if (!worker->freeClient) {
            worker->freeClient = std::make_unique<HttpClient>(m_strand, worker->target.address, maxResponseBytes);
        }
        HttpClient::Request request;
        request.method = "POST";
        request.path = m_dependencies.codec.freePath();
        request.body = m_dependencies.codec.encodeFree(worker->handlesToFree);
        request.headers.push_back(m_dependencies.codec.expectedTargetHeader(worker->target.id));
        const std::vector<std::string> freed = std::exchange(worker->handlesToFree, {});
        const Clock::TimePoint start = m_dependencies.clock.now();
        if (!mayFree(*worker, start)) {
            break; // The results expire on the target.
        }
        m_dependencies.fleet.recordCall(worker->target.id, start);
        const auto answer = co_await worker->freeClient->call(std::move(request), connectTimeout, freeTimeout);
        const bool attributed = !worker->freeClient->reused();
        AvailabilityStatement statement;
        if (answer) {
            statement = m_dependencies.codec.parseAvailability(answer->status, answer->headers);
            statement.requestSentAt = start;
        }
        if (attributed) {
            AvailabilityRecorder(m_dependencies.fleet, m_dependencies.metrics)
                .record(worker->target, statement, "free-call", m_dependencies.clock.now());
        } else if (!statement.isEmpty()) {
            worker->freeClient.reset(); // The response to the next call can be attributed.
        }
        if (!answer || answer->status != httpOk) {
            m_dependencies.metrics.counter("stage_free_failures_total").add();
            // A refusal that the target sends again must not be taken for the response to the next call.
            worker->freeClient.reset();
            continue; // The results expire on the target, and occupy its storage until then.
        }
        for (const std::string &it : freed) {
            worker->storage.free(it);
        }
    }
    worker->freeing = false;
    m_callbacks.freed(worker->target.service);
}

} // namespace Guavalock
