#pragma once

#include "Decisions/RandomEngine.h"

#include <cstddef>
#include <optional>

namespace Guavalock
{

class PoolView;
struct StageDemand;

/// Chooses the target of a stage call. One object serves one pool and is used under the target table's lock.
class RoutingPolicy
{
public:
    static constexpr const char *pluginKind = "policy";

    virtual ~RoutingPolicy() = default;

    /// Returns the index of a target that has room, or nothing when none has.
    virtual std::optional<std::size_t> choose(const PoolView &pool, const StageDemand &demand, RandomEngine &random) = 0;
};

} // namespace Guavalock
