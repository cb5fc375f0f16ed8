#pragma once

#include "Kernel/Reason.h"

#include <boost/json/object.hpp>

#include <cstdint>
#include <optional>
#include <string_view>

namespace Guavalock
{

/// Reads JSON from outside: text into objects, and members of objects without trust in their presence or type.
class JsonText
{
public:
    /// Returns the object that the text holds, or nothing with a reason that has the given code.
    static std::optional<boost::json::object> object(std::string_view text, ResultCode code, Reason &reason);

    /// Returns a member that is text; empty when it is absent or something else. Valid as long as the object.
    static std::string_view text(const boost::json::object &object, std::string_view name);

    /// Returns a member that is a whole number, zero or more; the fallback when it is absent or something else.
    static std::uint64_t number(const boost::json::object &object, std::string_view name, std::uint64_t fallback = 0);
};

} // namespace Guavalock
