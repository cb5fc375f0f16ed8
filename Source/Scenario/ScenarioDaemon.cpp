#include "Scenario/ScenarioDaemon.h"

namespace Guavalock
{

namespace
{

constexpr std::chrono::seconds quarantine{600};
constexpr double probesPerSecond = 4.0;
constexpr std::size_t probeBurst = 64;

} // namespace

ScenarioDaemon::ScenarioDaemon(const TargetPool::DaemonLocation &location, std::uint64_t seed)
    : name(location.vm)
    , dataCentre(location.dataCentre)
    , targets(location, seed)
    , poison(quarantine)
    , probes(probesPerSecond, probeBurst)
{
}

} // namespace Guavalock
