#include "FrontEnds/RefusalJson.h"

namespace Guavalock
{

boost::json::object RefusalJson::fromRefusal(const Refusal &refusal, const std::string &requestId)
{
    boost::json::object object{{"code", resultNumber(refusal.code)},
                               {"name", resultCodeInfo(refusal.code).name},
                               {"reason", refusal.reason},
                               {"run", runStateName(refusal.run)}};
    if (refusal.retryAfter) {
        object["retry_after_ms"] = refusal.retryAfter->count();
    }
    if (!requestId.empty()) {
        object["request_id"] = requestId;
    }
    return object;
}

} // namespace Guavalock
