#pragma once

#include "Decisions/RandomEngine.h"

#include <cstddef>
#include <optional>

namespace Guavalock
{

class PoolView;
struct StageRequirements;

/// Load balancing policy: chooses the target of a stage call. Each pool has its own object, which is used under the target table's
/// lock.
class RoutingPolicy
{
public:
    static constexpr const char *pluginKind = "policy";

    virtual ~RoutingPolicy() = default;

    /// Returns the index of a target with free capacity, or nothing when there is none.
    virtual std::optional<std::size_t> choose(const PoolView &pool, const StageRequirements &requirements, RandomEngine &random) = 0;
};

} // namespace Guavalock
