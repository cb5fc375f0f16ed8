#include "Fleet/Catalogue.h"

#include "Decisions/Hash.h"

#include <algorithm>
#include <functional>
#include <tuple>

namespace Guavalock
{

namespace
{

/// Returns whether all stage dependencies exist and form an acyclic graph.
bool acyclic(const std::vector<StageNode> &stages)
{
    std::vector<bool> made(stages.size(), false);
    for (std::size_t rounds = 0; rounds < stages.size(); ++rounds) {
        for (std::size_t it = 0; it < stages.size(); ++it) {
            made[it]
                = std::ranges::all_of(stages[it].dependencies, [&](std::size_t before) { return before < made.size() && made[before]; });
        }
    }
    return std::ranges::all_of(made, std::identity());
}

/// Returns whether a request may name the port of a route. A host without a port stands for all of its ports.
bool portsAgree(std::optional<std::uint16_t> routePort, std::optional<std::uint16_t> requestPort)
{
    return !routePort || !requestPort || *routePort == *requestPort;
}

} // namespace

bool Catalogue::valid(const Content &content, Reason &reason)
{
    for (const RouteRecord &route : content.routes) {
        if (!acyclic(route.stages)) {
            reason = {ResultCode::SettingsInvalid,
                      "route " + route.name + ": its stages have a cyclic dependency or depend on a stage that does not exist"};
            return false;
        }
    }
    for (const ServiceRecord &service : content.services) {
        if (service.batch && service.batch->maxBatchSize == 0) {
            reason = {ResultCode::SettingsInvalid, "service " + service.name + ": the batch limit must be at least 1"};
            return false;
        }
    }
    return true;
}

Catalogue::Catalogue(Content content)
    : m_content(std::move(content))
{
    for (const RouteRecord &it : m_content.routes) {
        m_routesByHost[it.host].push_back(&it);
    }
    for (auto &[host, routes] : m_routesByHost) {
        std::ranges::stable_sort(routes, std::greater<>(), [](const RouteRecord *it) { return it->prefix.size(); });
    }
    for (const ServiceRecord &it : m_content.services) {
        m_servicesByName.emplace(it.name, &it);
        if (it.batch) {
            m_stageServices.push_back(it.name);
        }
        if (it.capacity) {
            m_modelServices.push_back(it.name);
        }
    }
    if (m_content.organisations) {
        for (const OrganisationRecord &it : *m_content.organisations) {
            for (const std::string &key : it.keys) {
                m_organisationsByKey.emplace(key, &it);
            }
        }
    }
}

std::uint64_t Catalogue::version() const
{
    return m_content.version;
}

const CallerLimits &Catalogue::limits() const
{
    return m_content.limits;
}

const RouteRecord *Catalogue::route(const HostName &host, std::string_view path) const
{
    const auto routes = m_routesByHost.find(host);
    if (routes == m_routesByHost.end()) {
        return nullptr;
    }
    const RouteRecord *best = nullptr;
    for (const RouteRecord *it : routes->second) {
        if (best != nullptr && it->prefix.size() < best->prefix.size()) {
            break;
        }
        if (!path.starts_with(it->prefix) || !portsAgree(it->host.port(), host.port())) {
            continue;
        }
        if (it->host.port() == host.port()) {
            return it;
        }
        best = best != nullptr ? best : it;
    }
    return best;
}

bool Catalogue::hasHost(const HostName &host) const
{
    return m_routesByHost.contains(host);
}

std::vector<std::string> Catalogue::describeUnreachableRoutes() const
{
    std::vector<std::string> descriptions;
    std::map<std::tuple<HostName, std::optional<std::uint16_t>, std::string_view>, const RouteRecord *> selected;
    for (const RouteRecord &it : m_content.routes) {
        const auto [first, isNew] = selected.emplace(std::tuple(it.host, it.host.port(), std::string_view(it.prefix)), &it);
        std::string cause;
        if (!it.host.isWellFormed()) {
            cause = "its host \"" + it.host.text() + "\" is malformed";
        } else if (!it.prefix.starts_with('/')) {
            cause = "its path prefix does not begin with a slash";
        } else if (!isNew) {
            cause = "route " + first->second->name + " has the same host and path prefix";
        }
        if (!cause.empty()) {
            descriptions.push_back("route " + it.name + ": " + cause);
        }
    }
    return descriptions;
}

const ServiceRecord *Catalogue::service(const std::string &name) const
{
    const auto it = m_servicesByName.find(name);
    return it == m_servicesByName.end() ? nullptr : it->second;
}

const std::vector<std::string> &Catalogue::stageServices() const
{
    return m_stageServices;
}

const std::vector<std::string> &Catalogue::modelServices() const
{
    return m_modelServices;
}

const OrganisationRecord *Catalogue::organisation(const std::string &key) const
{
    const auto it = m_organisationsByKey.find(key);
    return it == m_organisationsByKey.end() ? nullptr : it->second;
}

bool Catalogue::requiresApiKey() const
{
    return m_content.organisations.has_value();
}

const std::string &Catalogue::serviceFor(const RouteRecord &route, const std::string &requestId) const
{
    static const std::string none;
    if (route.services.empty()) {
        return none;
    }
    std::uint64_t total = 0;
    for (const auto &[name, weight] : route.services) {
        total += weight;
    }
    if (total == 0) {
        return route.services.front().first;
    }
    std::uint64_t point = Hash::of(requestId) % total;
    for (const auto &[name, weight] : route.services) {
        if (point < weight) {
            return name;
        }
        point -= weight;
    }
    return route.services.back().first;
}

} // namespace Guavalock
