#pragma once

#include <string>

namespace Guavalock
{

/// The name of a host, as a route of the configuration or a request states it.
///
/// Keeps the name as it is written, and compares it regardless of the case of its letters (RFC 9110, section 4.2.3).
class HostName
{
public:
    HostName() = default;
    explicit HostName(std::string text);

    /// Returns the name as it is written, which logs and messages show.
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
