#pragma once

#include "Kernel/Reason.h"

#include <boost/json/object.hpp>

#include <optional>
#include <string>

namespace Guavalock
{

/// Reads and moves fields of the request context, with reasons that name the field.
class Fields
{
public:
    /// Returns a text field, or nothing with a reason when it is absent or not text.
    static std::optional<std::string> text(const boost::json::object &context, const char *name, Reason &reason);

    /// Returns a number field that is at least one and at most the limit; the limit itself when the field is absent.
    static std::size_t count(const boost::json::object &context, const char *name, std::size_t limit);

    /// Moves a field from one object to another. Returns false with a reason when it is absent.
    static bool move(boost::json::object &from, boost::json::object &to, const char *name, Reason &reason);
};

} // namespace Guavalock
