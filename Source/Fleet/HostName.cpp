#include "Fleet/HostName.h"

#include <boost/algorithm/string/case_conv.hpp>
#include <boost/asio/ip/address_v6.hpp>

#include <algorithm>
#include <charconv>
#include <locale>
#include <utility>

namespace Guavalock
{

namespace
{

std::string lowerCase(std::string_view text)
{
    return boost::algorithm::to_lower_copy(std::string(text), std::locale::classic());
}

/// Returns whether a name may hold a character (RFC 3986, section 3.2.2). Bytes outside ASCII are accepted because clients send names that
/// are not encoded.
bool isNameCharacter(char it)
{
    static constexpr std::string_view punctuation = "-._~!$&'()*+,;=%";
    const bool isAlphanumeric = (it >= 'a' && it <= 'z') || (it >= 'A' && it <= 'Z') || (it >= '0' && it <= '9');
    return isAlphanumeric || punctuation.find(it) != std::string_view::npos || static_cast<unsigned char>(it) >= 0x80U;
}

/// Returns the form of a name (`reg-name` or `IPv4address`) that is compared, or an empty string if it is malformed.
std::string comparedName(std::string_view name)
{
    if (!std::ranges::all_of(name, &isNameCharacter)) {
        return {};
    }
    // The dot of the root domain ends an absolute name (RFC 3986, section 3.2.2). No name ends with two dots.
    const bool isAbsolute = name.size() > 1 && name.ends_with('.') && !name.ends_with("..");
    return lowerCase(isAbsolute ? name.substr(0, name.size() - 1) : name);
}

/// As above, for an IPv6 address in brackets. Scopes mean nothing outside of a machine.
std::string comparedAddress(std::string_view literal)
{
    if (!literal.ends_with(']')) {
        return {};
    }
    const std::string address(literal.substr(1, literal.size() - 2));
    boost::system::error_code ec;
    const auto value = boost::asio::ip::make_address_v6(address, ec);
    return ec || address.find('%') != std::string::npos ? std::string() : '[' + value.to_string() + ']';
}

/// Parses what follows a host. Returns false unless it is nothing, or a colon with a TCP port or without one.
bool parsePort(std::string_view text, std::optional<std::uint16_t> &port)
{
    if (text.empty() || text == ":") {
        return true;
    }
    std::uint16_t value = 0;
    const char *end = text.data() + text.size();
    const auto [rest, error] = std::from_chars(text.data() + 1, end, value);
    port = value;
    return text.front() == ':' && error == std::errc() && rest == end;
}

} // namespace

HostName::HostName(std::string text)
    : m_text(std::move(text))
{
    // Configurations may state an IPv6 address without the brackets that separate it from a port.
    for (const std::string &it : {m_text, '[' + m_text + ']'}) {
        if (const std::optional<HostName> name = parse(it)) {
            m_comparedForm = name->m_comparedForm;
            m_port = name->m_port;
            m_isWellFormed = true;
            return;
        }
    }
    m_comparedForm = lowerCase(m_text);
}

std::optional<HostName> HostName::parse(std::string_view text)
{
    const bool isLiteral = text.starts_with('[');
    const std::size_t portBegin = std::min(text.find(':', isLiteral ? text.find(']') : 0), text.size());
    const std::string_view host = text.substr(0, portBegin);
    HostName name;
    name.m_text = text;
    name.m_comparedForm = isLiteral ? comparedAddress(host) : comparedName(host);
    if (name.m_comparedForm.empty() || !parsePort(text.substr(portBegin), name.m_port)) {
        return std::nullopt;
    }
    name.m_isWellFormed = true;
    return name;
}

std::optional<std::uint16_t> HostName::port() const
{
    return m_port;
}

const std::string &HostName::text() const
{
    return m_text;
}

bool HostName::isWellFormed() const
{
    return m_isWellFormed;
}

bool HostName::operator==(const HostName &other) const
{
    return m_comparedForm == other.m_comparedForm;
}

bool HostName::operator<(const HostName &other) const
{
    return m_comparedForm < other.m_comparedForm;
}

} // namespace Guavalock
