#pragma once

#include "Kernel/Reason.h"
#include "Relay/AnswerHead.h"
#include "Relay/OpaqueRequest.h"
#include "Relay/SendTerms.h"

#include <boost/beast/http/message.hpp>

#include <optional>

namespace Guavalock
{

struct Refusal;

/// Translates the heads of opaque requests and of their answers.
class RelayCodec
{
public:
    using RequestHead = boost::beast::http::header<true, boost::beast::http::fields>;
    using ResponseHead = boost::beast::http::header<false, boost::beast::http::fields>;

    virtual ~RelayCodec() = default;

    /// Reads a caller's request head; body and time of arrival are left to the caller. Returns nothing when it is malformed.
    virtual std::optional<OpaqueRequest> request(const RequestHead &head, Reason &reason) const = 0;

    /// Returns all headers of the request as it is sent to a target, but for the length of the body.
    virtual HttpFields headers(const OpaqueRequest &request, const SendTerms &terms) const = 0;

    virtual AnswerHead answer(const ResponseHead &head) const = 0;

    /// Returns the HTTP status of a refusal.
    virtual unsigned status(const Refusal &refusal) const = 0;

    /// Returns the path at which the balancer asks whether the daemon takes new connections.
    virtual std::string readinessPath() const = 0;
};

} // namespace Guavalock
