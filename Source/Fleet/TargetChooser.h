#pragma once

#include "Decisions/RandomEngine.h"

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace Guavalock
{

/// Strategy that selects one of the available targets. Implementations register themselves as plug-ins.
class TargetChooser
{
public:
    static constexpr const char *pluginKind = "chooser";

    struct Candidate {
        std::string_view id;
        bool near = false; ///< In the data centre that the request prefers, or the request has no preference.
        double load = 0; ///< Estimated load, in requests.
        double health = 1; ///< Recent success ratio, from 0 to 1.
        double latency = 0; ///< Typical time to the first response byte in seconds; zero if unknown.
    };

    virtual ~TargetChooser() = default;

    /// Returns the index of the selected candidate. There is at least one candidate; an affinity of zero means none.
    virtual std::size_t choose(const std::vector<Candidate> &candidates, std::uint64_t affinity, RandomEngine &random) const = 0;
};

} // namespace Guavalock
