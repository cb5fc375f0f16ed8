#pragma once

#include "Decisions/RandomEngine.h"

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace Guavalock
{

/// Chooses among targets that may be sent to.
class TargetChooser
{
public:
    static constexpr const char *pluginKind = "chooser";

    struct Candidate {
        std::string_view id;
        bool near = false; ///< In the data centre that the request prefers.
        double load = 0; ///< Requests in progress.
        double health = 1; ///< Recent share of good attempts.
        double latency = 0; ///< Typical seconds to an answer; zero when unknown.
    };

    virtual ~TargetChooser() = default;

    /// Returns the index of a candidate; there is at least one.
    virtual std::size_t choose(const std::vector<Candidate> &candidates, std::uint64_t affinity, RandomEngine &random) const = 0;
};

} // namespace Guavalock
