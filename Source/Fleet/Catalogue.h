#pragma once

#include "Fleet/CallerLimits.h"
#include "Fleet/OrganisationRecord.h"
#include "Fleet/RouteRecord.h"
#include "Fleet/ServiceRecord.h"
#include "Kernel/Reason.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Guavalock
{

/// One immutable version of the operator configuration: routes, services, organisations and limits.
class Catalogue
{
public:
    struct Content {
        std::uint64_t version = 0;
        std::vector<RouteRecord> routes;
        std::vector<ServiceRecord> services;
        /// Empty if the configuration has no list of organisations. An empty list admits only requests of anonymous routes.
        std::optional<std::vector<OrganisationRecord>> organisations;
        CallerLimits limits;
    };

    /// Returns whether the content is consistent. On failure, the reason describes the first invalid entry.
    static bool valid(const Content &content, Reason &reason);

    explicit Catalogue(Content content);

    std::uint64_t version() const;
    const CallerLimits &limits() const;

    /// Returns the route of the host with the longest prefix that matches the path, or null.
    ///
    /// A route whose host has a port does not serve requests that name another port. Of equal prefixes, a route with the port of the
    /// request is preferred, then the one that stands first in the configuration.
    const RouteRecord *route(const HostName &host, std::string_view path) const;

    /// Returns whether any route has the host.
    bool hasHost(const HostName &host) const;

    /// Returns for each route that no request can select its name and the cause.
    std::vector<std::string> describeUnreachableRoutes() const;

    const ServiceRecord *service(const std::string &name) const;

    /// Returns the names of the services that process stages.
    const std::vector<std::string> &stageServices() const;

    /// Returns the names of the services that execute a model of which the capacity is known.
    const std::vector<std::string> &modelServices() const;

    /// Returns the organisation that an API key belongs to, or null.
    const OrganisationRecord *organisation(const std::string &key) const;

    /// Returns whether requests need an API key unless their route is anonymous: whether the configuration has a list of organisations,
    /// even an empty one.
    bool requiresApiKey() const;

    /// Selects one of a route's services in proportion to their weights. The same request id always selects the same service.
    const std::string &serviceFor(const RouteRecord &route, const std::string &requestId) const;

private:
    Content m_content;
    std::map<HostName, std::vector<const RouteRecord *>> m_routesByHost; ///< Sorted by descending prefix length.
    std::map<std::string, const ServiceRecord *> m_servicesByName;
    std::vector<std::string> m_stageServices;
    std::vector<std::string> m_modelServices;
    std::map<std::string, const OrganisationRecord *> m_organisationsByKey;
};

} // namespace Guavalock
