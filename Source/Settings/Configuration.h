#pragma once

#include "Settings/OrganisationSettings.h"
#include "Settings/PipelineSettings.h"
#include "Settings/PoolSettings.h"

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace Guavalock
{

/// Immutable snapshot of the operators' configuration, used to serve requests. A new snapshot replaces it on each change.
struct Configuration {
    std::uint64_t nextOffset = 0; ///< Offset of the first log record that is not applied.
    std::map<std::string, OrganisationSettings> organisations;
    std::set<std::string> dataCentresOut; ///< Data centres that are out of service.
    std::set<std::string> targetsOut; ///< Targets that are out of service.
    std::map<std::string, PoolSettings> pools; ///< Keyed by TEAM/NAME.
    std::map<std::string, PipelineSettings> pipelines; ///< Keyed by TEAM/NAME.
    std::map<std::string, std::string> rejected; ///< The first error of each invalid document, keyed by path.

    /// Builds a configuration from documents keyed by path. An invalid document is ignored and listed in `rejected`; a well-formed
    /// one with an unknown path is ignored silently.
    static std::shared_ptr<const Configuration> build(const std::map<std::string, std::string> &documents, std::uint64_t nextOffset);

    /// Resolves a stage's pool reference to TEAM/NAME; a reference without a slash names a pool of the same team.
    static std::string poolName(const std::string &team, const std::string &reference);
};

} // namespace Guavalock
