#include "Relay/RequestTarget.h"

#include <boost/algorithm/string/predicate.hpp>

#include <algorithm>
#include <array>

namespace Guavalock
{

std::optional<RequestTarget> RequestTarget::parse(std::string_view text)
{
    static constexpr std::array<std::string_view, 2> schemes{"http://", "https://"};
    const auto scheme = std::ranges::find_if(schemes, [&](std::string_view it) { return boost::algorithm::istarts_with(text, it); });
    RequestTarget target;
    if (scheme != schemes.end()) {
        text.remove_prefix(scheme->size());
        target.authority = text.substr(0, text.find_first_of("/?"));
        text.remove_prefix(target.authority.size());
        if (target.authority.empty()) {
            return std::nullopt;
        }
        target.originForm = text.starts_with('/') ? "" : "/";
    } else if (!text.starts_with('/')) {
        return std::nullopt;
    }
    target.originForm += text;
    return target;
}

} // namespace Guavalock
