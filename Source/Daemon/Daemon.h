#pragma once

#include "Kernel/SystemClock.h"
#include "Settings/ProcessSettings.h"

#include <map>
#include <memory>
#include <string>

namespace Guavalock
{

class AccountTable;
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
struct Services;

/// One daemon: makes its parts, starts them and stops them in order.
class Daemon
{
public:
    explicit Daemon(ProcessSettings settings);
    ~Daemon();

    /// Starts to serve. Throws boost::system::system_error when an address cannot be had.
    void start();

    /// Carries out a planned stop and returns when it is over. Returns false when requests were still in progress at its end.
    ///
    /// The health endpoint turns first; requests are still taken for a while, so that the balancer can move on; then new ones are
    /// refused and those in progress finish, for at most the configured stop timeout.
    bool stop();

    const Services &services() const;

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
    std::unique_ptr<MemberTable> m_members;
    std::unique_ptr<Services> m_services;
    std::unique_ptr<LogWriter> m_writer;
    std::unique_ptr<ConfigurationService> m_configuration;
    std::unique_ptr<ClaimService> m_claims;
    std::unique_ptr<LocalRoute> m_local;
    std::unique_ptr<PeerNetwork> m_peers;
    std::unique_ptr<StageRunner> m_stages;
    std::unique_ptr<PipelineRunner> m_pipelines;
    std::unique_ptr<TargetProber> m_prober;
    std::map<std::string, std::unique_ptr<FrontEnd>> m_frontEnds;
};

} // namespace Guavalock
