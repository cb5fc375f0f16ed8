#include "Flow/JsonText.h"
#include "Kernel/Registration.h"
#include "Targets/TargetCall.h"
#include "Targets/TargetDialect.h"

#include <boost/json/serialize.hpp>

namespace Guavalock
{

namespace
{

/// The rerank API that is common to several inference servers.
class RerankDialect : public TargetDialect
{
public:
    std::string path(const TargetCall &) const override
    {
        return "/v1/rerank";
    }

    std::string body(const TargetCall &call) const override
    {
        boost::json::object body = call.input;
        body["model"] = call.model;
        return boost::json::serialize(body);
    }

    std::optional<boost::json::object> parseResponse(std::string_view body, Reason &reason) const override
    {
        return JsonText::object(body, ResultCode::AnswerInvalid, reason);
    }
};

const Registration<TargetDialect, RerankDialect> registration("rerank", "documents and scores as one JSON answer");

} // namespace

} // namespace Guavalock
