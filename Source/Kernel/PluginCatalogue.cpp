#include "Kernel/PluginCatalogue.h"

#include <algorithm>
#include <tuple>

namespace Guavalock
{

PluginCatalogue &PluginCatalogue::instance()
{
    static PluginCatalogue catalogue;
    return catalogue;
}

void PluginCatalogue::add(Entry entry)
{
    m_entries.push_back(std::move(entry));
}

std::vector<PluginCatalogue::Entry> PluginCatalogue::entries() const
{
    std::vector<Entry> sorted = m_entries;
    std::ranges::sort(sorted, {}, [](const Entry &it) { return std::tie(it.kind, it.name); });
    return sorted;
}

std::vector<std::string> PluginCatalogue::names(const std::string &kind) const
{
    std::vector<std::string> found;
    for (const Entry &it : entries()) {
        if (it.kind == kind) {
            found.push_back(it.name);
        }
    }
    return found;
}

bool PluginCatalogue::contains(const std::string &kind, const std::string &name) const
{
    return std::ranges::any_of(m_entries, [&](const Entry &it) { return it.kind == kind && it.name == name; });
}

} // namespace Guavalock
