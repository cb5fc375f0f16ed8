#pragma once

#include "Fleet/MemberRecord.h"

#include <cstddef>
#include <set>
#include <string>
#include <vector>

namespace Guavalock
{

/// Decides which daemons a daemon keeps a link to, so that heartbeats cost each daemon the same in a fleet of any size.
///
/// In small fleets all daemons are linked. In larger ones, the daemons of a data centre with the largest processor shares are its hubs:
/// each daemon links to the hubs of its data centre, and the hubs of all data centres are linked with each other. A hub that cannot be
/// used is replaced by the next daemon in the same order.
class LinkPlan
{
public:
    /// A known daemon other than the planning one.
    struct Candidate {
        const MemberRecord *record = nullptr;
        bool usable = true; ///< False if the last attempt to reach it failed or it is draining.
    };

    static constexpr std::size_t fullMeshSize = 24; ///< Fleets of up to this many daemons are linked completely.
    static constexpr std::size_t hubsPerDataCentre = 3; ///< Two hubs can fail at once without a gap in the reports.

    LinkPlan(const MemberRecord &self, const std::vector<Candidate> &others);

    /// Returns the Vm names of the daemons to link to.
    const std::set<std::string> &links() const;

    /// Returns whether the planning daemon acts as a hub.
    bool isHub() const;

private:
    /// Adds the hubs of a data centre, and those in the order before them that cannot be used.
    void addHubs(std::vector<Candidate> members, const std::string &self);

    std::set<std::string> m_links;
    bool m_isHub = false;
};

} // namespace Guavalock
