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

/// Daemons and stand-ins in one process, on loopback ports of their own. Each data centre has one target of each kind.
class Deployment
{
public:
    struct Shape {
        std::vector<std::string> centres{"north"};
        std::size_t daemonsPerCentre = 1;
        std::size_t workers = 2; ///< Of each daemon.
        FakeFaults faults;
        std::size_t slots = 32;
        std::size_t coldLimit = 1;
        std::size_t coldCalls = 0;
        std::chrono::milliseconds callTime{1};
        std::chrono::milliseconds tokenTime{0};
        std::uint64_t seed = 1;
        std::function<void(ProcessSettings &)> adjust; ///< Applied to each daemon's settings.
    };

    explicit Deployment(Shape shape);
    ~Deployment();

    /// Starts the stand-ins and every daemon, and returns when the daemons know each other, the targets and the configuration.
    void start();

    void startDaemon(std::size_t index);

    /// Ends a daemon at once, without a planned stop.
    void killDaemon(std::size_t index);

    Daemon &daemon(std::size_t index);
    FakePlatform &platform();

    /// Returns a stand-in by kind and data centre, as in `engine-north`.
    FakeTarget &target(const std::string &name);
    std::map<std::string, std::unique_ptr<FakeTarget>> &targets();

    std::vector<Endpoint> callers() const;
    Endpoint administration(std::size_t index) const;

    /// Changes a document through a daemon's administration interface. Fails the test when that is refused.
    void put(const std::string &path, const std::string &text);

    /// Runs a load and checks what must hold after any: no violation, each key run at most once, every "not run" true.
    std::unique_ptr<LoadGenerator> load(LoadPlan plan);

    /// Waits until a condition holds. Fails the test when it does not within the time.
    static void waitFor(const std::string &what, const std::function<bool()> &condition,
                        std::chrono::milliseconds longest = std::chrono::milliseconds(20'000));

    std::unique_ptr<WorkerPool> pool; ///< Runs the stand-ins and the load.

private:
    bool ready(std::size_t index);
    void makeTargets();
    void makeSettings();
    void publish();

    Shape m_shape;
    std::uint16_t m_nextPort;
    std::unique_ptr<FakePlatform> m_platform;
    std::map<std::string, std::unique_ptr<FakeTarget>> m_targets;
    std::map<std::string, std::string> m_poolLines;
    std::vector<ProcessSettings> m_settings;
    std::vector<std::unique_ptr<Daemon>> m_daemons;
};

} // namespace Guavalock
