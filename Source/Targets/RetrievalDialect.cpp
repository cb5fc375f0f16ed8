#include "Flow/JsonText.h"
#include "Kernel/Registration.h"
#include "Targets/TargetCall.h"
#include "Targets/TargetDialect.h"

#include <boost/json/serialize.hpp>

namespace Guavalock
{

namespace
{

/// Document retrieval with JSON requests and responses.
class RetrievalDialect : public TargetDialect
{
public:
    std::string path(const TargetCall &) const override
    {
        return "/retrieve";
    }

    std::string body(const TargetCall &call) const override
    {
        return boost::json::serialize(call.input);
    }

    std::optional<boost::json::object> parseResponse(std::string_view body, Reason &reason) const override
    {
        return JsonText::object(body, ResultCode::AnswerInvalid, reason);
    }
};

const Registration<TargetDialect, RetrievalDialect> registration("retrieval", "documents as one JSON answer");

} // namespace

} // namespace Guavalock
