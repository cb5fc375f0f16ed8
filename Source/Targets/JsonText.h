#pragma once

#include "Kernel/Reason.h"

#include <boost/json/object.hpp>

#include <optional>
#include <string_view>

namespace Guavalock
{

/// Parses JSON text from outside.
class JsonText
{
public:
    /// Returns the object that the text holds, or nothing with a reason that has the given code.
    static std::optional<boost::json::object> object(std::string_view text, ResultCode code, Reason &reason);
};

} // namespace Guavalock
