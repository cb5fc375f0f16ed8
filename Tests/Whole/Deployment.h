#pragma once

#include "FakeTargetSettings.h"
#include "LoadPlan.h"
#include "Settings/Endpoint.h"
#include "Settings/ProcessSettings.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Guavalock
{

class Daemon;
class FakePlatform;
class FakeTarget;
class LoadGenerator;
class WorkerPool;

/// Runs daemons, a fake platform and fake targets in one process, each on its own loopback port. Each data centre has one target of
/// each kind.
class Deployment
{
public:
    struct Shape {
        std::vector<std::string> centres{"north"};
        std::size_t daemonsPerCentre = 1;
        std::size_t workers = 2; ///< Worker threads per daemon.
        FakeFaults faults;
        std::size_t slots = 32;
        std::size_t coldLimit = 1;
        std::size_t coldCalls = 0;
        std::chrono::milliseconds callTime{1};
        std::chrono::milliseconds tokenTime{0};
        std::uint64_t seed = 1;
        std::function<void(ProcessSettings &)> adjust; ///< Applied to each daemon's settings.
    };

    explicit Deployment(Shape options);
    ~Deployment();

    /// Starts the fakes and all daemons, and waits until every daemon has the configuration and sees all peers and targets.
    void start();

    void startDaemon(std::size_t index);

    /// Destroys a daemon without a graceful shutdown.
    void killDaemon(std::size_t index);

    Daemon &daemon(std::size_t index);
    FakePlatform &platform();

    /// Returns a fake target by kind and data centre, such as `engine-north`.
    FakeTarget &target(const std::string &name);
    std::map<std::string, std::unique_ptr<FakeTarget>> &targets();

    std::vector<Endpoint> callers() const;
    Endpoint administration(std::size_t index) const;

    /// Updates a document through a daemon's administration interface. Fails the test if the update is rejected.
    void put(const std::string &path, const std::string &text);

    /// Runs a load and checks its invariants: no violations, no cold limit exceeded, each idempotency key executed at most once, and no
    /// request executed that was reported as not executed.
    std::unique_ptr<LoadGenerator> load(LoadPlan plan);

    /// Polls a condition until it holds. Fails the test on time-out.
    static void waitFor(const std::string &what, const std::function<bool()> &condition,
                        std::chrono::milliseconds timeout = std::chrono::milliseconds(20'000));

    std::unique_ptr<WorkerPool> pool; ///< Runs the fakes and the load generator.

private:
    bool isReady(std::size_t index);
    void makeTargets();
    void makeDaemonSettings();
    void publishConfiguration();

    Shape m_options;
    std::uint16_t m_nextPort;
    std::unique_ptr<FakePlatform> m_platform;
    std::map<std::string, std::unique_ptr<FakeTarget>> m_targets;
    std::map<std::string, std::string> m_poolTargetsYaml;
    std::vector<ProcessSettings> m_settings;
    std::vector<std::unique_ptr<Daemon>> m_daemons;
};

} // namespace Guavalock
