#pragma once

#include <cstddef>
#include <limits>
#include <set>
#include <string>

namespace Guavalock
{

/// Which versions of a service one request may be sent to. By default, all versions are used alike.
struct VersionPlan {
    enum class Use {
        Preferred,
        IfNoneAvailable, ///< Only if no target of a preferred version is available.
        IfNoneKnown, ///< Only if the service has no target of a preferred version.
        Never,
    };

    std::string version; ///< The new version; empty if there is no order.
    Use newVersion = Use::Preferred;
    Use otherVersions = Use::Preferred;
    std::set<std::string> withdrawn; ///< Versions that receive nothing.
    std::set<std::string> unconfirmed; ///< Versions that have just appeared, and for which an order may not have been read yet.
    bool warmOnly = false; ///< Whether cold and suspect targets of the new version are passed over.
    double share = 1; ///< Of the service's requests that go to the new version, from which the number of its targets in use follows.
    std::size_t maxCalls = std::numeric_limits<std::size_t>::max(); ///< To the new version, for callers that send several at once.

    Use useOf(const std::string &targetVersion) const
    {
        if (withdrawn.contains(targetVersion)) {
            return Use::Never;
        }
        if (unconfirmed.contains(targetVersion)) {
            return Use::IfNoneKnown;
        }
        return !version.empty() && targetVersion == version ? newVersion : otherVersions;
    }
};

} // namespace Guavalock
