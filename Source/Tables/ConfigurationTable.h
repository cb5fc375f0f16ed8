#pragma once

#include "Decisions/ConfigurationTree.h"
#include "Kernel/RankedMutex.h"

#include <memory>
#include <string>
#include <vector>

namespace Guavalock
{

struct Configuration;

/// The configuration tree of this daemon and the configuration built from it. Rank Configuration.
class ConfigurationTable
{
public:
    struct Stamped {
        std::uint64_t offset = 0;
        ConfigurationRecord record;
    };

    /// What became of one record.
    struct Outcome {
        std::string id;
        ConfigurationTree::Verdict verdict = ConfigurationTree::Verdict::AlreadyApplied;
        std::uint64_t version = 0; ///< Of the record's subtree afterwards.
    };

    ConfigurationTable();

    /// Returns the configuration in force; never null.
    std::shared_ptr<const Configuration> current() const;

    /// Applies records in the order of their offsets, and puts the new configuration in force if any was accepted.
    std::vector<Outcome> apply(const std::vector<Stamped> &records, std::uint64_t nextOffset);

    /// Takes over another daemon's tree when that has applied more of the log. Returns whether it did.
    bool restore(ConfigurationTree tree);

    /// Returns the tree as it stands.
    ConfigurationTree tree() const;

    std::uint64_t nextOffset() const;

private:
    mutable RankedMutex m_mutex{LockRank::Configuration};
    ConfigurationTree m_tree;
    std::shared_ptr<const Configuration> m_current;
};

} // namespace Guavalock
