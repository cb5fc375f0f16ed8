#pragma once

#include "Kernel/Reason.h"

#include <boost/json/object.hpp>

#include <cstdint>
#include <optional>
#include <string_view>

namespace Guavalock
{

/// Parses untrusted JSON and reads object members that may be absent or have another type.
class JsonText
{
public:
    /// Parses a JSON object. Returns nothing, and sets the reason with the given code, when the text is not a JSON object.
    static std::optional<boost::json::object> object(std::string_view text, ResultCode code, Reason &reason);

    /// Returns a string member, or an empty view when it is absent or not a string. The view is valid as long as the object.
    static std::string_view text(const boost::json::object &object, std::string_view name);

    /// Returns a non-negative integer member, or the fallback when it is absent, negative or not an integer.
    static std::uint64_t number(const boost::json::object &object, std::string_view name, std::uint64_t fallback = 0);
};

} // namespace Guavalock
