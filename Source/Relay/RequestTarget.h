#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace Guavalock
{

/// The target in a request line: `/PATH?QUERY`, or `http://HOST:PORT/PATH?QUERY`, which clients of proxies send (RFC 9112, section 3.2).
struct RequestTarget {
    std::string originForm; ///< Path and query.
    std::string_view authority; ///< Host and port, which replace the Host field; refers to the parsed text, and is empty without them.

    /// Returns nothing for other forms: `*`, and the authority alone, name no path that a route could have.
    static std::optional<RequestTarget> parse(std::string_view text);
};

} // namespace Guavalock
