#include "Daemon/Daemon.h"

#include "Decisions/Hash.h"
#include "FrontEnds/FrontEnd.h"
#include "FrontEnds/FrontEndContext.h"
#include "Kernel/Log.h"
#include "Kernel/Metrics.h"
#include "Kernel/Registry.h"
#include "Kernel/WorkerPool.h"
#include "Net/BufferBudget.h"
#include "Peer/PeerNetwork.h"
#include "Pipeline/DaemonContext.h"
#include "Pipeline/LocalRoute.h"
#include "Pipeline/PipelineRunner.h"
#include "Pipeline/StageRunner.h"
#include "Pipeline/TargetProber.h"
#include "Platform/ClaimService.h"
#include "Platform/ConfigurationService.h"
#include "Platform/LogWriter.h"
#include "Tables/AccountTable.h"
#include "Tables/ConfigurationTable.h"
#include "Tables/MemberTable.h"
#include "Tables/PoisonTable.h"
#include "Tables/RequestTable.h"
#include "Tables/TargetTable.h"
#include "Targets/ConnectionTable.h"

#include <boost/asio/steady_timer.hpp>

#include <random>

namespace Guavalock
{

namespace
{

constexpr std::chrono::milliseconds drainDelay{1'000}; ///< Time between reporting unhealthy and refusing requests.
constexpr std::chrono::milliseconds pollInterval{20}; ///< Interval of the checks for unfinished requests.
constexpr std::chrono::milliseconds responseWriteTime{20}; ///< Time allowed for writing the last responses.

std::string newIncarnation(const std::string &vm)
{
    std::random_device device;
    const std::uint64_t number = (static_cast<std::uint64_t>(device()) << 32U) | device();
    return vm + "." + Hash::hex(number);
}

} // namespace

Daemon::Daemon(ProcessSettings settings)
    : m_settings(std::move(settings))
    , m_incarnation(newIncarnation(m_settings.vm))
    , m_pool(std::make_unique<WorkerPool>(m_settings.workers))
    , m_metrics(std::make_unique<Metrics>())
    , m_configurationTable(std::make_unique<ConfigurationTable>())
    , m_requests(std::make_unique<RequestTable>(m_settings.limits.requests))
    , m_targets(std::make_unique<TargetTable>(TargetPool::DaemonLocation{m_settings.vm, m_settings.dataCentre, m_settings.neighbours()},
                                              Hash::of(m_incarnation)))
    , m_connections(std::make_unique<ConnectionTable>(m_pool->executor()))
    , m_accounts(std::make_unique<AccountTable>())
    , m_poison(std::make_unique<PoisonTable>())
    , m_responseMemory(std::make_unique<BufferBudget>())
    , m_members(std::make_unique<MemberTable>())
    , m_context(new DaemonContext{m_settings, m_incarnation, m_clock, m_pool->executor(), *m_metrics, *m_configurationTable, *m_requests,
                                  *m_targets, *m_connections, *m_responseMemory, *m_accounts, *m_poison})
    , m_writer(std::make_unique<LogWriter>(*m_context))
    , m_configuration(std::make_unique<ConfigurationService>(*m_context, *m_writer))
    , m_claims(std::make_unique<ClaimService>(*m_context, *m_writer))
    , m_localRoute(std::make_unique<LocalRoute>(*m_context))
    , m_peers(std::make_unique<PeerNetwork>(*m_context, *m_members, *m_localRoute, *m_configuration))
    , m_stages(std::make_unique<StageRunner>(*m_context, std::vector<AttemptRoute *>{m_localRoute.get(), m_peers.get()},
                                             [this](std::uint64_t requestFingerprint, std::size_t crashes, Cancellation &cancellation) {
                                                 return m_peers->announceTargetCrash(requestFingerprint, crashes, cancellation);
                                             }))
    , m_pipelines(std::make_unique<PipelineRunner>(*m_context, *m_stages, *m_claims))
    , m_prober(std::make_unique<TargetProber>(*m_context))
{
    m_targets->setObserver([this](const std::string &pool, const std::string &target, const LoadReport &report) {
        m_peers->sendTargetStatus(pool, target, report);
    });
    const FrontEndContext context{*m_context, *m_pipelines, *m_configuration, *m_members};
    m_frontEnds = Registry<FrontEnd, const FrontEndContext &>::instance().createAll(context);
}

Daemon::~Daemon()
{
    m_pool->stop();
}

std::vector<Endpoint> Daemon::listenAddresses() const
{
    return {m_settings.callers, m_settings.administration, m_settings.peerListen};
}

void Daemon::start()
{
    Log::info("daemon", "starting", {{"incarnation", m_incarnation}, {"data_centre", m_settings.dataCentre}});
    m_peers->start();
    m_configuration->start([this](const std::vector<ConfigurationTable::OffsetRecord> &records, std::uint64_t from, std::uint64_t next) {
        m_peers->broadcastRecords(records, from, next);
    });
    m_claims->start();
    m_prober->start();
    for (auto &[name, frontEnd] : m_frontEnds) {
        frontEnd->start();
    }
    Log::info("daemon", "started", {{"callers", m_settings.callers.text()}, {"administration", m_settings.administration.text()}});
}

bool Daemon::stop()
{
    Log::info("daemon", "stopping", {{"requests", std::to_string(m_requests->inProgress())}});
    for (auto &[name, frontEnd] : m_frontEnds) {
        frontEnd->announceShutdown();
    }
    m_peers->startDraining();
    boost::asio::io_context timers;
    boost::asio::steady_timer timer(timers, drainDelay);
    timer.wait();
    m_requests->refuseNewRequests();
    const bool finished = waitForRequests();
    for (auto &[name, frontEnd] : m_frontEnds) {
        frontEnd->stop();
    }
    m_peers->stop();
    Log::info("daemon", "stopped", {{"requests", std::to_string(m_requests->inProgress())}});
    return finished;
}

bool Daemon::waitForRequests() const
{
    const Clock::TimePoint latestStop = m_clock.now() + m_settings.limits.stopTimeout;
    boost::asio::io_context timers;
    boost::asio::steady_timer timer(timers);
    const auto busy = [this] {
        return m_requests->inProgress() + m_peers->callsInProgress() > 0;
    };
    while (busy() && m_clock.now() < latestStop) {
        timer.expires_after(pollInterval);
        timer.wait();
    }
    // Allow the responses of the last requests to be written to their sockets: waits a fixed time, not for their completion.
    timer.expires_after(responseWriteTime);
    timer.wait();
    return !busy();
}

const DaemonContext &Daemon::context() const
{
    return *m_context;
}

} // namespace Guavalock
