#include "Flow/JsonText.h"
#include "Kernel/Registration.h"
#include "Targets/TargetCall.h"
#include "Targets/TargetDialect.h"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

namespace Guavalock
{

namespace
{

/// The OpenAI embeddings API.
class OpenAiEmbeddingsDialect : public TargetDialect
{
public:
    std::string path(const TargetCall &) const override
    {
        return "/v1/embeddings";
    }

    std::string body(const TargetCall &call) const override
    {
        boost::json::object body = call.input;
        body["model"] = call.model;
        return boost::json::serialize(body);
    }

    std::optional<boost::json::object> parseResponse(std::string_view body, Reason &reason) const override
    {
        std::optional<boost::json::object> object = JsonText::object(body, ResultCode::AnswerInvalid, reason);
        if (!object) {
            return std::nullopt;
        }
        boost::json::error_code ec;
        const boost::json::value root = std::move(*object);
        const boost::json::value *embedding = root.find_pointer("/data/0/embedding", ec);
        if (embedding == nullptr || !embedding->is_array()) {
            reason = {ResultCode::AnswerInvalid, "the target's response has no array at data[0].embedding"};
            return std::nullopt;
        }
        return boost::json::object{{"embedding", *embedding}};
    }
};

const Registration<TargetDialect, OpenAiEmbeddingsDialect> registration("openai-embeddings", "embeddings as one JSON answer");

} // namespace

} // namespace Guavalock
