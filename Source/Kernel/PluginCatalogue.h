#pragma once

#include <string>
#include <vector>

namespace Guavalock
{

/// Lists the kind and name of every registered plug-in, for the command line and for settings validation.
///
/// Filled during static initialisation and read-only afterwards, so it needs no lock.
class PluginCatalogue
{
public:
    struct Entry {
        std::string kind;
        std::string name;
        std::string summary;
    };

    static PluginCatalogue &instance();

    void add(Entry entry);

    /// Returns all entries, sorted by kind and then by name.
    std::vector<Entry> entries() const;

    /// Returns the names of all plug-ins of a kind, sorted.
    std::vector<std::string> names(const std::string &kind) const;

    bool contains(const std::string &kind, const std::string &name) const;

private:
    std::vector<Entry> m_entries;
};

} // namespace Guavalock
