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

/// One seeded run: daemons as processes, stand-ins and links in this one, faults in series that overlap, promises checked.
class SoakRun
{
public:
    struct Plan {
        std::string program; ///< Path of the daemon.
        std::string folder; ///< For settings and logs.
        std::uint64_t seed = 1;
        std::size_t slot = 0; ///< Sets addresses and ports apart from those of runs beside this one.
        std::size_t daemons = 4;
        std::size_t clients = 3; ///< For each daemon.
        std::chrono::seconds time{20};
    };

    explicit SoakRun(Plan plan);
    ~SoakRun();

    /// Returns what broke a promise, one line each.
    std::vector<std::string> run();

    /// Returns a line of counts.
    std::string summary() const;

private:
    using TimePoint = std::chrono::steady_clock::time_point;

    /// A fault and how it ends; both are noted in the run's log.
    struct Fault {
        const char *name;
        void (SoakRun::*begin)(std::size_t daemon);
    };

    static const std::vector<Fault> &faults();

    std::string daemonAddress(std::size_t daemon) const;

    /// Returns an address of the stand-ins and links.
    Endpoint local(std::size_t port) const;

    void startStandIns();
    void writeSettings(std::size_t daemon) const;
    void writeTarget(const std::string &name, const std::string &state);
    void configure(const std::string &keys);
    void driveClient(std::size_t daemon, std::size_t client);
    void injectFaults(TimePoint until);
    void runDue(TimePoint now);
    void settle();
    void later(std::chrono::milliseconds from, std::chrono::milliseconds to, std::function<void()> action);
    void note(const std::string &text) const;

    void killOne(std::size_t daemon);
    void killAll(std::size_t daemon);
    void pause(std::size_t daemon);
    void stopOne(std::size_t daemon);
    void hangUp(std::size_t daemon);
    void storeAway(std::size_t daemon);
    void storeForgets(std::size_t daemon);
    void storeLink(std::size_t daemon);
    void targetLink(std::size_t daemon);
    void badTarget(std::size_t daemon);
    void drainTarget(std::size_t daemon);
    void revoke(std::size_t daemon);

    void restart(std::size_t daemon);
    void unplanned(std::chrono::milliseconds time);
    std::vector<std::string> check() const;
    std::vector<std::string> checkSettled();

    Plan m_plan;
    RandomEngine m_random;
    WorkerPool m_pool;
    std::unique_ptr<FakeRecordStore> m_store;
    std::map<std::string, std::unique_ptr<FakeFleetTarget>> m_targets;
    std::map<std::string, std::unique_ptr<SoakProxy>> m_targetLinks;
    std::vector<std::unique_ptr<SoakProxy>> m_storeLinks;
    std::vector<std::unique_ptr<SoakProcess>> m_daemons;
    std::vector<bool> m_stopping;
    std::multimap<TimePoint, std::function<void()>> m_due;
    std::vector<std::thread> m_threads;
    std::atomic<bool> m_over{false};
    mutable std::mutex m_mutex;
    std::vector<SoakClient::Result> m_results;
    std::vector<std::string> m_violations;
    std::vector<std::pair<TimePoint, TimePoint>> m_unplanned; ///< Times in which connections may break.
    std::size_t m_faultCount = 0;
    std::uint64_t m_version = 0;
};

} // namespace Guavalock
