#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>

namespace Guavalock
{

/// An IP address and a TCP port.
struct Endpoint {
    std::string address;
    std::uint16_t port = 0;

    auto operator<=>(const Endpoint &) const = default;

    /// Parses `ADDRESS:PORT`, where ADDRESS is an IPv4 address or an IPv6 address in brackets. Returns nothing if malformed.
    static std::optional<Endpoint> parse(const std::string &text);

    std::string text() const;
};

} // namespace Guavalock
