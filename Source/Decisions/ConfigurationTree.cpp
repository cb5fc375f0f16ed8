#include "Decisions/ConfigurationTree.h"

#include "Settings/ConfigurationDocument.h"

#include <algorithm>

namespace Guavalock
{

ConfigurationTree::ConfigurationTree(std::map<std::string, std::string> documents, std::map<std::string, std::uint64_t> versions,
                                     std::uint64_t nextOffset)
    : m_nextOffset(nextOffset)
    , m_documents(std::move(documents))
    , m_versions(std::move(versions))
{
}

ConfigurationTree::Verdict ConfigurationTree::apply(const ConfigurationRecord &record, std::uint64_t offset)
{
    if (offset < m_nextOffset) {
        return Verdict::AlreadyApplied;
    }
    m_nextOffset = offset + 1;
    const std::string subtree = ConfigurationDocument::subtree(record.path);
    if (record.expectedVersion != version(subtree)) {
        return Verdict::VersionConflict;
    }
    m_versions[subtree] = offset + 1;
    if (record.value) {
        m_documents[record.path] = *record.value;
    } else {
        m_documents.erase(record.path);
    }
    return Verdict::Accepted;
}

void ConfigurationTree::advanceTo(std::uint64_t nextOffset)
{
    m_nextOffset = std::max(m_nextOffset, nextOffset);
}

std::uint64_t ConfigurationTree::version(const std::string &subtree) const
{
    const auto it = m_versions.find(subtree);
    return it == m_versions.end() ? 0 : it->second;
}

std::uint64_t ConfigurationTree::nextOffset() const
{
    return m_nextOffset;
}

const std::map<std::string, std::string> &ConfigurationTree::documents() const
{
    return m_documents;
}

const std::map<std::string, std::uint64_t> &ConfigurationTree::versions() const
{
    return m_versions;
}

} // namespace Guavalock
