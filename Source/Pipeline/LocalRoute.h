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

/// Makes attempts at targets of this daemon's data centre.
class LocalRoute : public AttemptRoute
{
public:
    explicit LocalRoute(const Services &services);
    ~LocalRoute() override;

    boost::asio::awaitable<AttemptResult> attempt(const StageCall &call, PartSink &sink, Cancellation &cancellation) override;

private:
    boost::asio::awaitable<AttemptResult> callTarget(const Slot &slot, const StageCall &call, PartSink &sink, Cancellation &cancellation);

    /// Asks a target whose connection broke whether it is still the same; tells the table. Returns true when it is gone.
    boost::asio::awaitable<bool> targetIsGone(const Slot &slot, Cancellation &cancellation);

    const Services &m_services;
    std::map<std::string, std::unique_ptr<TargetDialect>> m_dialects;
};

} // namespace Guavalock
