#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Guavalock
{

/// The name or IP address of a host with an optional port, as a route of the configuration or a request states it.
///
/// Keeps the text as it is written, and compares hosts (RFC 3986, section 3.2.2): names regardless of case and of a dot at their end, and
/// IPv6 addresses by their value. The port is not compared.
class HostName
{
public:
    HostName() = default;

    /// Takes the host of a route, `HOST` or `HOST:PORT`. An IPv6 address without a port needs no brackets. A text of another form is equal
    /// to the same text in any case.
    explicit HostName(std::string text);

    /// Parses the value of a Host field, `HOST` or `HOST:PORT`. Returns nothing if the text has another form.
    static std::optional<HostName> parse(std::string_view text);

    /// Returns the port, or nothing if the text names none.
    std::optional<std::uint16_t> port() const;

    /// Returns the text as it is written, with the port, which logs and messages show.
    const std::string &text() const;

    /// Returns whether the text has the form of a host. Requests with a text of another form are rejected.
    bool isWellFormed() const;

    bool operator==(const HostName &other) const;

    /// Orders hosts for use as keys. Equal hosts are equivalent.
    bool operator<(const HostName &other) const;

private:
    std::string m_text;
    std::string m_comparedForm; ///< The same for equal hosts.
    std::optional<std::uint16_t> m_port;
    bool m_isWellFormed = false;
};

} // namespace Guavalock
