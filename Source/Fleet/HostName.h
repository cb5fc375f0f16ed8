#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace Guavalock
{

/// The name of a host, as a route of the configuration or a request states it.
///
/// Keeps the text as it is written, and compares the name regardless of the case of its letters (RFC 9110, section 4.2.3).
class HostName
{
public:
    HostName() = default;

    /// Takes the name of a route.
    explicit HostName(std::string text);

    /// Parses the value of a Host field, `HOST` or `HOST:PORT`. The port is not compared. Returns nothing if there is no host.
    static std::optional<HostName> parse(std::string_view text);

    /// Returns the text as it is written, with the port, which logs and messages show.
    const std::string &text() const;

    bool isEmpty() const;

    bool operator==(const HostName &other) const;

    /// Orders names for use as keys. Equal names are equivalent.
    bool operator<(const HostName &other) const;

private:
    std::string m_text;
    std::string m_comparedForm; ///< The same for equal names.
};

} // namespace Guavalock
