#include "Kernel/Registration.h"
#include "Settings/StageSettings.h"
#include "Stages/ContextFields.h"
#include "Stages/Stage.h"

#include <array>

namespace Guavalock
{

namespace
{

/// Fields that other stages add. They are removed, so that the service receives only what the caller sent.
constexpr std::array addedFields = {"embedding", "documents", "result"};

/// Calls a generic service with the caller's request body and stores its response as `result`.
class ServiceStage : public Stage
{
public:
    std::optional<boost::json::object> input(const boost::json::object &context, const StageSettings &, Reason &) const override
    {
        boost::json::object input = context;
        for (const char *it : addedFields) {
            input.erase(it);
        }
        return input;
    }

    bool merge(boost::json::object &context, boost::json::object output, Reason &reason) const override
    {
        return ContextFields::move(output, context, "result", reason);
    }
};

const Registration<Stage, ServiceStage> registration("service", "one call to a plain service");

} // namespace

} // namespace Guavalock
