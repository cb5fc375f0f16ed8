#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <tuple>

namespace Guavalock
{

/// An IP address and a TCP port.
struct Endpoint {
    std::string address;
    std::uint16_t port = 0;

    bool operator==(const Endpoint &) const = default;

    /// Orders endpoints by address and port, for use as keys.
    bool operator<(const Endpoint &other) const
    {
        return std::tie(address, port) < std::tie(other.address, other.port);
    }

    /// Parses `ADDRESS:PORT`, where ADDRESS is an IPv4 address or an IPv6 address in brackets. Returns nothing if malformed.
    static std::optional<Endpoint> parse(const std::string &text);

    std::string text() const;
};

} // namespace Guavalock
