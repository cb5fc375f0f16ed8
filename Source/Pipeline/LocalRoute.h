#pragma once

#include "Flow/AttemptRoute.h"
#include "Targets/TargetDialect.h"

#include <map>
#include <memory>
#include <string>

namespace Guavalock
{

struct Services;
struct Slot;

/// Executes attempts on targets in this daemon's data centre.
class LocalRoute : public AttemptRoute
{
public:
    explicit LocalRoute(const Services &services);
    ~LocalRoute() override;

    boost::asio::awaitable<AttemptResult> attempt(const StageCall &call, PartSink &sink, Cancellation &cancellation) override;

private:
    boost::asio::awaitable<AttemptResult> callTarget(const Slot &slot, const StageCall &call, PartSink &sink, Cancellation &cancellation);

    /// Probes a target whose connection was lost and reports the result to the target table.
    ///
    /// Returns true when the target does not respond or has restarted.
    boost::asio::awaitable<bool> checkTargetGone(const Slot &slot, Cancellation &cancellation);

    const Services &m_services;
    std::map<std::string, std::unique_ptr<TargetDialect>> m_dialects;
};

} // namespace Guavalock
