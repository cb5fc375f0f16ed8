#pragma once

#include "Kernel/Refusal.h"

#include <optional>

namespace Guavalock
{

class Catalogue;
struct OpaqueRequest;
struct OrganisationRecord;
struct RouteRecord;
struct ServiceRecord;

/// What the configuration says about a request. The pointers are valid as long as the catalogue.
struct RequestRoute {
    const RouteRecord *route = nullptr;
    const ServiceRecord *service = nullptr;
    const OrganisationRecord *organisation = nullptr; ///< Null for anonymous requests.

    /// Fills in all fields, as far as they are found. Returns a refusal if the request cannot be served.
    std::optional<Refusal> find(const Catalogue &catalogue, const OpaqueRequest &request);

    /// Returns the request's rank; requests with a lower one are served first.
    unsigned rank() const;

    std::string organisationName() const;
};

} // namespace Guavalock
