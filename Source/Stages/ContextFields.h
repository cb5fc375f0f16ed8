#pragma once

#include "Kernel/Reason.h"

#include <boost/json/object.hpp>

#include <optional>
#include <string>

namespace Guavalock
{

/// Reads and moves fields of the request context. Errors name the field concerned.
class ContextFields
{
public:
    /// Returns a string field. Returns nothing and sets the reason when it is absent or not a string.
    static std::optional<std::string> text(const boost::json::object &context, const char *name, Reason &reason);

    /// Returns an integer field clamped to the range from one to the limit, or the limit when the field is absent or not an integer.
    static std::size_t count(const boost::json::object &context, const char *name, std::size_t limit);

    /// Moves a field from one object to another. Returns false and sets the reason when it is absent.
    static bool move(boost::json::object &from, boost::json::object &to, const char *name, Reason &reason);
};

} // namespace Guavalock
