#pragma once

#include "Decisions/ConfigurationTree.h"
#include "Kernel/RankedMutex.h"

#include <memory>
#include <string>
#include <vector>

namespace Guavalock
{

struct Configuration;

/// This daemon's configuration tree and the configuration built from it. Lock rank: Configuration.
class ConfigurationTable
{
public:
    /// A record with its offset in the log.
    struct OffsetRecord {
        std::uint64_t offset = 0;
        ConfigurationRecord record;
    };

    /// The result of applying one record.
    struct Outcome {
        std::string id;
        ConfigurationTree::Verdict verdict = ConfigurationTree::Verdict::AlreadyApplied;
        std::uint64_t version = 0; ///< Version of the record's subtree afterwards.
    };

    ConfigurationTable();

    /// Returns the active configuration; never null.
    std::shared_ptr<const Configuration> current() const;

    /// Applies records in the order of their offsets, and activates a new configuration if any record was accepted.
    std::vector<Outcome> apply(const std::vector<OffsetRecord> &records, std::uint64_t nextOffset);

    /// Replaces the tree with another daemon's if that one has applied more of the log. Returns whether it was replaced.
    bool replaceIfNewer(ConfigurationTree tree);

    /// Returns a copy of the current tree.
    ConfigurationTree tree() const;

    std::uint64_t nextOffset() const;

private:
    mutable RankedMutex m_mutex{LockRank::Configuration};
    ConfigurationTree m_tree;
    std::shared_ptr<const Configuration> m_current;
};

} // namespace Guavalock
