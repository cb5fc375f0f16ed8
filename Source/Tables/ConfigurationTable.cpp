#include "Tables/ConfigurationTable.h"

#include "Settings/Configuration.h"
#include "Settings/ConfigurationDocument.h"

#include <algorithm>

namespace Guavalock
{

ConfigurationTable::ConfigurationTable()
    : m_current(std::make_shared<Configuration>())
{
}

std::shared_ptr<const Configuration> ConfigurationTable::current() const
{
    const std::scoped_lock lock(m_mutex);
    return m_current;
}

std::vector<ConfigurationTable::Outcome> ConfigurationTable::apply(const std::vector<OffsetRecord> &records, std::uint64_t nextOffset)
{
    std::vector<Outcome> outcomes;
    const std::scoped_lock lock(m_mutex);
    for (const OffsetRecord &it : records) {
        const ConfigurationTree::Verdict verdict = m_tree.apply(it.record, it.offset);
        outcomes.push_back({it.record.id, verdict, m_tree.version(ConfigurationDocument::subtree(it.record.path))});
    }
    m_tree.advanceTo(nextOffset);
    const bool changed
        = std::ranges::any_of(outcomes, [](const Outcome &it) { return it.verdict == ConfigurationTree::Verdict::Accepted; });
    if (changed) {
        m_current = Configuration::build(m_tree.documents(), m_tree.nextOffset());
    }
    return outcomes;
}

bool ConfigurationTable::replaceIfNewer(ConfigurationTree tree)
{
    const std::scoped_lock lock(m_mutex);
    if (tree.nextOffset() <= m_tree.nextOffset()) {
        return false;
    }
    m_tree = std::move(tree);
    m_current = Configuration::build(m_tree.documents(), m_tree.nextOffset());
    return true;
}

ConfigurationTree ConfigurationTable::tree() const
{
    const std::scoped_lock lock(m_mutex);
    return m_tree;
}

std::uint64_t ConfigurationTable::nextOffset() const
{
    const std::scoped_lock lock(m_mutex);
    return m_tree.nextOffset();
}

} // namespace Guavalock
