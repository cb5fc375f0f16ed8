#include "Placement/CachedParts.h"

#include <algorithm>

namespace Guavalock
{

CachedParts::Contents &CachedParts::contents(std::size_t target)
{
    if (target >= m_contents.size()) {
        m_contents.resize(target + 1);
    }
    return m_contents[target];
}

void CachedParts::evictFirst(std::size_t target)
{
    Contents &own = m_contents[target];
    const auto it = m_locations.find(own.order.front().hash);
    std::erase_if(it->second, [target](const Location &location) { return location.target == target; });
    if (it->second.empty()) {
        m_locations.erase(it);
    }
    own.tokens -= own.order.front().tokens;
    own.order.pop_front();
}

void CachedParts::use(std::size_t target, const std::vector<PromptPart> &parts, std::size_t maxTokens)
{
    Contents &own = contents(target);
    // In reverse order, so that the first parts of a prompt are evicted last: the others are of no use without them.
    for (auto part = parts.rbegin(); part != parts.rend(); ++part) {
        std::vector<Location> &locations = m_locations[part->hash];
        const auto it = std::ranges::find(locations, target, &Location::target);
        if (it != locations.end()) {
            own.order.splice(own.order.end(), own.order, it->part);
        } else {
            own.order.push_back(*part);
            own.tokens += part->tokens;
            locations.push_back({target, std::prev(own.order.end())});
        }
    }
    while (own.tokens > maxTokens && !own.order.empty()) {
        evictFirst(target);
    }
}

void CachedParts::find(const std::vector<PromptPart> &parts, std::vector<std::size_t> &tokens) const
{
    std::ranges::fill(tokens, 0);
    std::size_t before = 0;
    for (const PromptPart &part : parts) {
        const auto it = m_locations.find(part.hash);
        if (it == m_locations.end()) {
            return;
        }
        for (const Location &location : it->second) {
            if (location.target < tokens.size() && tokens[location.target] == before) {
                tokens[location.target] += part.tokens;
            }
        }
        before += part.tokens;
    }
}

void CachedParts::clear(std::size_t target)
{
    Contents &own = contents(target);
    while (!own.order.empty()) {
        evictFirst(target);
    }
}

} // namespace Guavalock
