#include "Flow/JsonText.h"

#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>

namespace Guavalock
{

std::optional<boost::json::object> JsonText::object(std::string_view text, ResultCode code, Reason &reason)
{
    boost::json::error_code ec;
    boost::json::value value = boost::json::parse(text, ec);
    if (ec) {
        reason = {code, "the body is not valid JSON: " + ec.message()};
        return std::nullopt;
    }
    if (!value.is_object()) {
        reason = {code, "the body is not a JSON object"};
        return std::nullopt;
    }
    return std::move(value.get_object());
}

std::string_view JsonText::text(const boost::json::object &object, std::string_view name)
{
    const boost::json::value *value = object.if_contains(name);
    return value != nullptr && value->is_string() ? std::string_view(value->get_string()) : std::string_view();
}

std::uint64_t JsonText::number(const boost::json::object &object, std::string_view name, std::uint64_t fallback)
{
    const boost::json::value *value = object.if_contains(name);
    return value != nullptr && value->is_int64() && value->get_int64() >= 0 ? static_cast<std::uint64_t>(value->get_int64()) : fallback;
}

} // namespace Guavalock
