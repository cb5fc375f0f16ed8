#include "Targets/JsonText.h"

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

} // namespace Guavalock
