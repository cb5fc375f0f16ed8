#include "Flow/JsonText.h"
#include "Kernel/Registration.h"
#include "Targets/TargetCall.h"
#include "Targets/TargetDialect.h"

#include <boost/json/serialize.hpp>

namespace Guavalock
{

namespace
{

/// A generic service: posts the caller's JSON to the configured path and accepts any JSON object as the response.
class ServiceDialect : public TargetDialect
{
public:
    std::string path(const TargetCall &call) const override
    {
        return call.path.empty() ? "/" : call.path;
    }

    std::string body(const TargetCall &call) const override
    {
        return boost::json::serialize(call.input);
    }

    std::optional<boost::json::object> parseResponse(std::string_view body, Reason &reason) const override
    {
        std::optional<boost::json::object> object = JsonText::object(body, ResultCode::AnswerInvalid, reason);
        if (!object) {
            return std::nullopt;
        }
        return boost::json::object{{"result", std::move(*object)}};
    }
};

const Registration<TargetDialect, ServiceDialect> registration("service", "a plain service's JSON");

} // namespace

} // namespace Guavalock
