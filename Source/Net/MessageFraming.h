#pragma once

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>

#include <optional>
#include <string>

namespace Guavalock
{

/// Decides whether the length of a received message can be relied on. Where a sender and a receiver may see different ends of a message,
/// a part of its body would be taken for the next one.
class MessageFraming
{
public:
    /// Returns why the length cannot be relied on, or nothing. The HTTP version is 11 for HTTP/1.1.
    ///
    /// "chunked" is the only accepted transfer coding. It must stand alone, and not beside a length or before HTTP/1.1. A length must
    /// occur once, as a plain decimal number.
    static std::optional<std::string> findFault(const boost::beast::http::fields &fields, unsigned version);

    /// As above, for the head of a response. Also returns a status code that a final response cannot have: after an interim response, the
    /// final one would be taken for the response to the next request.
    static std::optional<std::string> findResponseFault(const boost::beast::http::response_header<> &head);
};

} // namespace Guavalock
