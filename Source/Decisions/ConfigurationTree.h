#pragma once

#include "Decisions/ConfigurationRecord.h"

#include <cstdint>
#include <map>
#include <string>

namespace Guavalock
{

/// The configuration documents that the log's records add up to.
///
/// A pure function of the records and their offsets: every daemon that has applied the same records holds the same tree. The
/// version of a subtree is the offset, plus one, of the last record that changed it, and zero when there was none.
class ConfigurationTree
{
public:
    enum class Verdict {
        Accepted,
        VersionConflict, ///< Another change to the subtree came first; this record has no effect.
        AlreadyApplied, ///< The offset is not larger than the last one applied.
    };

    ConfigurationTree() = default;

    /// A tree as another daemon held it.
    ConfigurationTree(std::map<std::string, std::string> documents, std::map<std::string, std::uint64_t> versions,
                      std::uint64_t nextOffset);

    Verdict apply(const ConfigurationRecord &record, std::uint64_t offset);

    /// Notes that records up to an offset, exclusive, are applied, though they changed nothing.
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
