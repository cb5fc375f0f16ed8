#pragma once

#include "Decisions/RandomEngine.h"
#include "FakeFleetTarget.h"
#include "FakeRecordStore.h"
#include "Kernel/WorkerPool.h"
#include "SoakClient.h"
#include "SoakProcess.h"
#include "SoakProxy.h"

#include <atomic>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace Guavalock
{

/// A soak run with one seed.
///
/// Starts daemons as child processes with fakes and proxies in this process, injects overlapping faults under load, and checks
/// the service guarantees.
class SoakRun
{
public:
    struct Plan {
        std::string program; ///< Path of the daemon.
        std::string folder; ///< Folder for settings and logs.
        std::uint64_t seed = 1;
        std::size_t slot = 0; ///< Selects addresses and ports, so that several runs can execute in parallel.
        std::size_t daemons = 4;
        std::size_t clients = 3; ///< Clients per daemon.
        std::chrono::seconds time{20}; ///< How long faults are injected.
    };

    explicit SoakRun(Plan plan);
    ~SoakRun();

    /// Runs the plan and returns one line for each violated guarantee.
    std::vector<std::string> run();

    /// Returns a one-line summary of the run's counts.
    std::string summary() const;

private:
    using TimePoint = std::chrono::steady_clock::time_point;

    /// A fault that a run can inject. Its name is written to the run's faults.log.
    struct Fault {
        const char *name;
        void (SoakRun::*begin)(std::size_t daemon);
    };

    static const std::vector<Fault> &faults();

    std::string daemonAddress(std::size_t daemon) const;

    /// Returns the loopback endpoint of a fake or proxy.
    Endpoint local(std::size_t port) const;

    void startFakes();
    void writeSettings(std::size_t daemon) const;
    void writeTarget(const std::string &name, const std::string &state);
    void publishConfiguration(const std::string &keys);
    void runClient(std::size_t daemon, std::size_t client);
    void injectFaults(TimePoint until);
    void runScheduledActions(TimePoint now);
    void awaitRestarts();
    void schedule(std::chrono::milliseconds from, std::chrono::milliseconds to, std::function<void()> action);
    void logFault(const std::string &text) const;

    void killDaemon(std::size_t daemon);
    void killAll(std::size_t daemon);
    void pauseDaemon(std::size_t daemon);
    void stopDaemon(std::size_t daemon);
    void reloadDaemon(std::size_t daemon);
    void interruptStore(std::size_t daemon);
    void compactStore(std::size_t daemon);
    void disturbStoreLink(std::size_t daemon);
    void disturbTargetLink(std::size_t daemon);
    void injectTargetFault(std::size_t daemon);
    void drainTarget(std::size_t daemon);
    void revokeKey(std::size_t daemon);

    void restartDaemon(std::size_t daemon);
    void excuseDisconnects(std::chrono::milliseconds time);
    std::vector<std::string> checkResults() const;
    std::vector<std::string> checkSettled();

    Plan m_plan;
    RandomEngine m_random;
    WorkerPool m_pool;
    std::unique_ptr<FakeRecordStore> m_store;
    std::map<std::string, std::unique_ptr<FakeFleetTarget>> m_targets;
    std::map<std::string, std::unique_ptr<SoakProxy>> m_targetLinks;
    std::vector<std::unique_ptr<SoakProxy>> m_storeLinks;
    std::vector<std::unique_ptr<SoakProcess>> m_daemons;
    std::vector<bool> m_stopRequested;
    std::multimap<TimePoint, std::function<void()>> m_scheduledActions;
    std::vector<std::thread> m_threads;
    std::atomic<bool> m_clientsStopped{false};
    mutable std::mutex m_mutex;
    std::vector<SoakClient::Result> m_results;
    std::vector<std::string> m_violations;
    std::vector<std::pair<TimePoint, TimePoint>> m_excusedPeriods; ///< Periods in which connections may break.
    std::size_t m_injectedFaultCount = 0;
    std::uint64_t m_configurationVersion = 0;
    std::uint64_t m_targetSequence = 0; ///< Of target records.
};

} // namespace Guavalock
