#include "Settings/Endpoint.h"

#include <boost/asio/ip/address.hpp>

#include <charconv>

namespace Guavalock
{

namespace
{

std::string stripBrackets(const std::string &host)
{
    if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
        return host.substr(1, host.size() - 2);
    }
    return host;
}

} // namespace

std::optional<Endpoint> Endpoint::parse(const std::string &text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos) {
        return std::nullopt;
    }
    Endpoint endpoint;
    endpoint.address = stripBrackets(text.substr(0, colon));
    boost::system::error_code ec;
    boost::asio::ip::make_address(endpoint.address, ec);
    const char *end = text.data() + text.size();
    const auto [rest, error] = std::from_chars(text.data() + colon + 1, end, endpoint.port);
    if (ec || error != std::errc() || rest != end || endpoint.port == 0) {
        return std::nullopt;
    }
    return endpoint;
}

std::string Endpoint::text() const
{
    const bool isIpv6 = address.find(':') != std::string::npos;
    return (isIpv6 ? "[" + address + "]" : address) + ":" + std::to_string(port);
}

} // namespace Guavalock
