#pragma once

#include "Kernel/Reason.h"
#include "Relay/OpaqueRequest.h"
#include "Relay/UpstreamParameters.h"
#include "Relay/UpstreamResponseHead.h"

#include <boost/beast/http/message.hpp>

#include <optional>

namespace Guavalock
{

struct Refusal;

/// Translates the headers of opaque requests and of their responses.
class RelayCodec
{
public:
    using RequestHead = boost::beast::http::header<true, boost::beast::http::fields>;
    using ResponseHead = boost::beast::http::header<false, boost::beast::http::fields>;

    virtual ~RelayCodec() = default;

    /// Decodes a client's request headers, leaving the body and the time of receipt unset. Returns nullopt and sets the reason if they are
    /// malformed.
    virtual std::optional<OpaqueRequest> parseRequest(const RequestHead &head, Reason &reason) const = 0;

    /// Returns all headers of the request to a target except Content-Length.
    virtual HttpFields upstreamHeaders(const OpaqueRequest &request, const UpstreamParameters &parameters) const = 0;

    /// Decodes the headers of a target's response.
    virtual UpstreamResponseHead parseResponse(const ResponseHead &head) const = 0;

    /// Returns the HTTP status code for a refusal.
    virtual unsigned httpStatus(const Refusal &refusal) const = 0;

    /// Returns the path of the load balancer's readiness check.
    virtual std::string readinessPath() const = 0;
};

} // namespace Guavalock
