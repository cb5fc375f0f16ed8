#include "Stages/ContextFields.h"

#include <boost/json/value.hpp>

#include <algorithm>

namespace Guavalock
{

std::optional<std::string> ContextFields::text(const boost::json::object &context, const char *name, Reason &reason)
{
    const boost::json::value *value = context.if_contains(name);
    if (value == nullptr || !value->is_string()) {
        reason = {ResultCode::MalformedRequest, std::string("the field '") + name + "' is missing or is not a JSON string"};
        return std::nullopt;
    }
    return std::string(value->get_string());
}

std::size_t ContextFields::count(const boost::json::object &context, const char *name, std::size_t limit)
{
    const boost::json::value *value = context.if_contains(name);
    if (value == nullptr || !value->is_int64()) {
        return limit;
    }
    const auto most = static_cast<std::int64_t>(limit);
    return static_cast<std::size_t>(std::clamp<std::int64_t>(value->get_int64(), 1, most));
}

bool ContextFields::move(boost::json::object &from, boost::json::object &to, const char *name, Reason &reason)
{
    const auto it = from.find(name);
    if (it == from.end()) {
        reason = {ResultCode::AnswerInvalid, std::string("the field '") + name + "' is missing from the target's response"};
        return false;
    }
    to[name] = std::move(it->value());
    return true;
}

} // namespace Guavalock
