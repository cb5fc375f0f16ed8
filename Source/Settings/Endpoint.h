#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace Guavalock
{

/// An IP address and a TCP port.
struct Endpoint {
    std::string address;
    std::uint16_t port = 0;

    bool operator==(const Endpoint &) const = default;

    /// Reads `ADDRESS:PORT`; the address is an IPv4 number or an IPv6 number in brackets. Returns nothing for any other form.
    static std::optional<Endpoint> parse(const std::string &text);

    std::string text() const;
};

} // namespace Guavalock
