#pragma once

#include "Flow/AttemptRoute.h"
#include "Targets/TargetDialect.h"

#include <map>
#include <memory>
#include <string>

namespace Guavalock
{

struct DaemonContext;
struct Slot;

/// Executes attempts on targets in this daemon's data centre.
class LocalRoute : public AttemptRoute
{
public:
    explicit LocalRoute(const DaemonContext &context);
    ~LocalRoute() override;

    boost::asio::awaitable<AttemptResult> attempt(const StageCall &call, TokenSink &sink, Cancellation &cancellation) override;

private:
    boost::asio::awaitable<AttemptResult> callTarget(const Slot &slot, const StageCall &call, TokenSink &sink, Cancellation &cancellation);

    /// Probes a target whose connection was lost and reports the result to the target table.
    ///
    /// Returns true when the target does not respond or has restarted.
    boost::asio::awaitable<bool> checkTargetGone(const Slot &slot, Cancellation &cancellation);

    const DaemonContext &m_context;
    std::map<std::string, std::unique_ptr<TargetDialect>> m_dialects;
};

} // namespace Guavalock
