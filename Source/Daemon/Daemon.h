#pragma once

#include "Kernel/SystemClock.h"
#include "Settings/ProcessSettings.h"

#include <map>
#include <memory>
#include <string>

namespace Guavalock
{

class AccountTable;
class BufferBudget;
class ClaimService;
class ConfigurationService;
class ConfigurationTable;
class ConnectionTable;
class FrontEnd;
class LocalRoute;
class LogWriter;
class MemberTable;
class Metrics;
class PeerNetwork;
class PipelineRunner;
class PoisonTable;
class RequestTable;
class StageRunner;
class TargetProber;
class TargetTable;
class WorkerPool;
struct DaemonContext;

/// One daemon process: creates, starts and stops all components in order.
class Daemon
{
public:
    explicit Daemon(ProcessSettings settings);
    ~Daemon();

    /// Returns the addresses without which the daemon cannot serve.
    std::vector<Endpoint> listenAddresses() const;

    /// Starts serving. Throws boost::system::system_error if an address cannot be bound.
    void start();

    /// Performs a graceful shutdown and returns when it is complete. Returns false if requests were still in progress at the end.
    ///
    /// First the health endpoint reports unhealthy while new requests are still accepted, so that the load balancer can remove this
    /// daemon. Then new requests are refused, and those in progress have up to the configured stop timeout to finish.
    bool stop();

    const DaemonContext &context() const;

private:
    bool waitForRequests() const;

    ProcessSettings m_settings;
    std::string m_incarnation;
    SystemClock m_clock;
    std::unique_ptr<WorkerPool> m_pool;
    std::unique_ptr<Metrics> m_metrics;
    std::unique_ptr<ConfigurationTable> m_configurationTable;
    std::unique_ptr<RequestTable> m_requests;
    std::unique_ptr<TargetTable> m_targets;
    std::unique_ptr<ConnectionTable> m_connections;
    std::unique_ptr<AccountTable> m_accounts;
    std::unique_ptr<PoisonTable> m_poison;
    std::unique_ptr<BufferBudget> m_responseMemory;
    std::unique_ptr<MemberTable> m_members;
    std::unique_ptr<DaemonContext> m_context;
    std::unique_ptr<LogWriter> m_writer;
    std::unique_ptr<ConfigurationService> m_configuration;
    std::unique_ptr<ClaimService> m_claims;
    std::unique_ptr<LocalRoute> m_localRoute;
    std::unique_ptr<PeerNetwork> m_peers;
    std::unique_ptr<StageRunner> m_stages;
    std::unique_ptr<PipelineRunner> m_pipelines;
    std::unique_ptr<TargetProber> m_prober;
    std::map<std::string, std::unique_ptr<FrontEnd>> m_frontEnds;
};

} // namespace Guavalock
