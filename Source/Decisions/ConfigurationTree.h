#pragma once

#include "Decisions/ConfigurationRecord.h"

#include <cstdint>
#include <map>
#include <string>

namespace Guavalock
{

/// The configuration documents that result from replaying the platform log.
///
/// A pure function of the records and their offsets: daemons that have applied the same records hold the same tree. The version of
/// a subtree is the offset of the last record that changed it, plus one, or zero when no record has changed it.
class ConfigurationTree
{
public:
    enum class Verdict {
        Accepted,
        VersionConflict, ///< The expected version is not the subtree's version; the record has no effect.
        AlreadyApplied, ///< The offset is below the next one to apply.
    };

    ConfigurationTree() = default;

    /// Restores a tree from another daemon's snapshot.
    ConfigurationTree(std::map<std::string, std::string> documents, std::map<std::string, std::uint64_t> versions,
                      std::uint64_t nextOffset);

    Verdict apply(const ConfigurationRecord &record, std::uint64_t offset);

    /// Marks all records before an offset as applied, including those that changed nothing.
    void advanceTo(std::uint64_t nextOffset);

    std::uint64_t version(const std::string &subtree) const;

    /// Returns the offset of the next record to apply.
    std::uint64_t nextOffset() const;

    const std::map<std::string, std::string> &documents() const;
    const std::map<std::string, std::uint64_t> &versions() const;

private:
    std::uint64_t m_nextOffset = 0;
    std::map<std::string, std::string> m_documents;
    std::map<std::string, std::uint64_t> m_versions;
};

} // namespace Guavalock
