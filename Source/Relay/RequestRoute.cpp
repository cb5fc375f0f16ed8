#include "Relay/RequestRoute.h"

#include "Fleet/Catalogue.h"
#include "Relay/OpaqueRequest.h"

#include <boost/algorithm/hex.hpp>

#include <algorithm>

namespace Guavalock
{

namespace
{

constexpr std::size_t maxPiecesPerStage = 1'000; ///< Limit per stage. Fills many batches, and bounds the memory one client can occupy.

Refusal refusal(ResultCode code, std::string reason)
{
    return Refusal::of(code, RunState::No, std::move(reason));
}

/// Returns the host as the client wrote it, cut to the length of the longest name with a port, with bytes outside ASCII as in a URI.
std::string describeHost(const HostName &host)
{
    constexpr std::size_t maxLength = 259; // RFC 1035, section 2.3.4, and six characters for the port.
    std::string text;
    for (const char it : host.text().substr(0, maxLength)) {
        const auto byte = static_cast<unsigned char>(it);
        text += byte < 0x80U ? std::string(1, it) : "%" + boost::algorithm::hex(std::string(1, it));
    }
    return text;
}

} // namespace

std::optional<Refusal> RequestRoute::find(const Catalogue &catalogue, const OpaqueRequest &request)
{
    route = catalogue.route(request.host, request.path());
    if (route == nullptr) {
        return refusal(ResultCode::UnknownPath,
                       catalogue.hasHost(request.host) ? "no route of host " + describeHost(request.host) + " matches the path and the port"
                                                       : "no route has the host " + describeHost(request.host));
    }
    if (catalogue.requiresApiKey() && !route->allowsAnonymous) {
        organisation = catalogue.organisation(request.apiKey);
        if (organisation == nullptr) {
            return refusal(ResultCode::NotAuthorised, "the API key does not belong to any organisation");
        }
    }
    const std::string &name = catalogue.serviceFor(*route, request.id);
    service = catalogue.service(name);
    if (service == nullptr) {
        return refusal(ResultCode::NoTarget, "service " + name + " of the route is not configured");
    }
    if (std::ranges::any_of(request.pieceCounts, [](std::size_t it) { return it > maxPiecesPerStage; })) {
        return refusal(ResultCode::MalformedRequest, "a stage has more than " + std::to_string(maxPiecesPerStage) + " pieces");
    }
    return std::nullopt;
}

unsigned RequestRoute::rank() const
{
    return organisation != nullptr && organisation->rank ? *organisation->rank : route->rank;
}

std::string RequestRoute::organisationName() const
{
    return organisation != nullptr ? organisation->name : std::string();
}

} // namespace Guavalock
