#pragma once

#include "Placement/PromptPart.h"

#include <cstddef>
#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

namespace Guavalock
{

/// Models which prompt parts the targets of a service have cached. Targets are identified by an index.
///
/// A part is considered cached from the placement of a request that contains it. Each target evicts the least recently used parts.
class CachedParts
{
public:
    /// Records that a target processes the parts of a prompt, and evicts others until all take at most the given number of tokens.
    void use(std::size_t target, const std::vector<PromptPart> &parts, std::size_t maxTokens);

    /// Sets, by target, the tokens at the start of a prompt that are cached. A part counts only if all parts before it are cached too.
    void find(const std::vector<PromptPart> &parts, std::vector<std::size_t> &tokens) const;

    /// Removes all parts of a target that has restarted or is gone.
    void clear(std::size_t target);

private:
    using Order = std::list<PromptPart>; ///< Least recently used first.

    struct Location {
        std::size_t target = 0;
        Order::iterator part;
    };

    struct Contents {
        Order order;
        std::size_t tokens = 0;
    };

    Contents &contents(std::size_t target);
    void evictFirst(std::size_t target);

    std::vector<Contents> m_contents; ///< By target.
    std::unordered_map<std::uint64_t, std::vector<Location>> m_locations; ///< By hash of the part.
};

} // namespace Guavalock
