#include "Kernel/Registration.h"
#include "Settings/StageSettings.h"
#include "Stages/ContextFields.h"
#include "Stages/Stage.h"

#include <boost/json/array.hpp>

namespace Guavalock
{

namespace
{

/// Computes an `embedding` of the caller's `input` text.
class EncodeStage : public Stage
{
public:
    std::optional<boost::json::object> input(const boost::json::object &context, const StageSettings &, Reason &reason) const override
    {
        const std::optional<std::string> text = ContextFields::text(context, "input", reason);
        if (!text) {
            return std::nullopt;
        }
        return boost::json::object{{"input", *text}};
    }

    bool merge(boost::json::object &context, boost::json::object output, Reason &reason) const override
    {
        return ContextFields::move(output, context, "embedding", reason);
    }
};

const Registration<Stage, EncodeStage> registration("encode", "text to an embedding");

} // namespace

} // namespace Guavalock
