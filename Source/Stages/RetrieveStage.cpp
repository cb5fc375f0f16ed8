#include "Kernel/Registration.h"
#include "Settings/StageSettings.h"
#include "Stages/ContextFields.h"
#include "Stages/Stage.h"

#include <boost/json/array.hpp>

namespace Guavalock
{

namespace
{

/// Retrieves `documents` for the `input` text. Sends its `embedding` too when an encode stage ran before.
class RetrieveStage : public Stage
{
public:
    std::optional<boost::json::object> input(const boost::json::object &context, const StageSettings &settings,
                                             Reason &reason) const override
    {
        const std::optional<std::string> text = ContextFields::text(context, "input", reason);
        if (!text) {
            return std::nullopt;
        }
        boost::json::object input{{"query", *text}, {"top_k", ContextFields::count(context, "top_k", settings.topK)}};
        if (const boost::json::value *embedding = context.if_contains("embedding")) {
            input["embedding"] = *embedding;
        }
        return input;
    }

    bool merge(boost::json::object &context, boost::json::object output, Reason &reason) const override
    {
        return ContextFields::move(output, context, "documents", reason);
    }
};

const Registration<Stage, RetrieveStage> registration("retrieve", "an embedding to documents");

} // namespace

} // namespace Guavalock
