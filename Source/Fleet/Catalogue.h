#pragma once

#include "Fleet/CallerLimits.h"
#include "Fleet/OrganisationRecord.h"
#include "Fleet/RouteRecord.h"
#include "Fleet/ServiceRecord.h"
#include "Kernel/Reason.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace Guavalock
{

/// One version of the operator's configuration: routes, services, organisations and limits. Never changes once made.
class Catalogue
{
public:
    struct Content {
        std::uint64_t version = 0;
        std::vector<RouteRecord> routes;
        std::vector<ServiceRecord> services;
        std::vector<OrganisationRecord> organisations;
        CallerLimits limits;
    };

    /// Returns whether requests can be served by the content; otherwise the reason names what stands against it.
    static bool valid(const Content &content, Reason &reason);

    explicit Catalogue(Content content);

    std::uint64_t version() const;
    const CallerLimits &limits() const;

    /// Returns the route of the host with the longest prefix of the path, or null.
    const RouteRecord *route(std::string_view host, std::string_view path) const;

    const ServiceRecord *service(const std::string &name) const;

    /// Returns the organisation that holds a key, or null.
    const OrganisationRecord *organisation(const std::string &key) const;

    /// Returns whether requests need a key at all.
    bool hasOrganisations() const;

    /// Picks one of a route's services by weight; the same request id gets the same service.
    const std::string &serviceFor(const RouteRecord &route, const std::string &requestId) const;

private:
    Content m_content;
    std::map<std::string, std::vector<const RouteRecord *>, std::less<>> m_byHost; ///< Longest prefix first.
    std::map<std::string, const ServiceRecord *> m_byService;
    std::map<std::string, const OrganisationRecord *> m_byKey;
};

} // namespace Guavalock
