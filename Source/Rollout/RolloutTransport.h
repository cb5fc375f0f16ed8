#pragma once

#include <string>

namespace Guavalock
{

struct RolloutEvidence;
struct RolloutState;

/// Sends the messages of rollouts to other daemons. Thread-safe.
class RolloutTransport
{
public:
    virtual ~RolloutTransport() = default;

    /// Returns false, without sending anything, if the daemon is not linked.
    virtual bool sendRolloutEvidence(const std::string &vm, const RolloutEvidence &evidence) = 0;

    /// Sends a coordinator's state to all linked daemons.
    virtual void broadcastRolloutState(const RolloutState &state) = 0;
};

} // namespace Guavalock
