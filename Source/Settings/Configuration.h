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

/// The operators' configuration in the form that requests are served from. Never changed once built; a new one replaces it.
struct Configuration {
    std::uint64_t offset = 0; ///< The log offset up to which records are applied.
    std::map<std::string, OrganisationSettings> organisations;
    std::set<std::string> dataCentresOut;
    std::set<std::string> targetsOut;
    std::map<std::string, PoolSettings> pools; ///< By TEAM/NAME.
    std::map<std::string, PipelineSettings> pipelines; ///< By TEAM/NAME.
    std::map<std::string, std::string> rejected; ///< Documents that could not be read, with the reason; they have no effect.

    /// Builds from documents by path. A document that cannot be read is left out and listed in rejected.
    static std::shared_ptr<const Configuration> build(const std::map<std::string, std::string> &documents, std::uint64_t offset);

    /// Returns the full name of the pool that a stage of a team names.
    static std::string poolName(const std::string &team, const std::string &reference);
};

} // namespace Guavalock
