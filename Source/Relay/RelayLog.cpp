#include "Relay/RelayLog.h"

#include "Kernel/Log.h"

namespace Guavalock
{

void RelayLog::logCompletion(const Completion &completion)
{
    const auto text = [](const std::optional<std::chrono::milliseconds> &time) {
        return time ? std::to_string(time->count()) : std::string();
    };
    const bool refused = completion.outcome == "refused";
    Log::info("relay", "request",
              {{"id", completion.id},
               {"outcome", completion.outcome},
               {"status", std::to_string(completion.status)},
               {"code", std::string(refused ? resultCodeInfo(completion.refusal.code).name : "")},
               {"reason", refused ? completion.refusal.reason : ""},
               {"route", completion.route},
               {"configuration", completion.configuration},
               {"target", completion.target},
               {"sends", std::to_string(completion.sends)},
               {"stages_ms", text(completion.stagesDuration)},
               {"first_event_ms", text(completion.timeToFirstEvent)},
               {"objective_ms", text(completion.objective)},
               {"took_ms", std::to_string(completion.elapsed.count())}});
}

void RelayLog::logRepeat(const std::string &id, std::string_view cause, const std::string &target, unsigned sends,
                         std::chrono::milliseconds remaining)
{
    Log::info("relay", "repeat",
              {{"id", id},
               {"cause", std::string(cause)},
               {"target", target},
               {"sends", std::to_string(sends)},
               {"left_ms", std::to_string(remaining.count())}});
}

} // namespace Guavalock
