#include "Flow/JsonText.h"
#include "Kernel/Registration.h"
#include "Targets/TargetCall.h"
#include "Targets/TargetDialect.h"

#include <boost/json/serialize.hpp>

namespace Guavalock
{

namespace
{

/// Retrieval as plain JSON.
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

    std::optional<boost::json::object> answer(std::string_view body, Reason &reason) const override
    {
        return JsonText::object(body, ResultCode::AnswerInvalid, reason);
    }
};

const Registration<TargetDialect, RetrievalDialect> registration("retrieval", "documents as one JSON answer");

} // namespace

} // namespace Guavalock
