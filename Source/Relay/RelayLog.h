#pragma once

#include "Kernel/Refusal.h"

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace Guavalock
{

/// Log lines about the requests of callers.
class RelayLog
{
public:
    /// The end of a request. Times are since its receipt.
    struct Completion {
        std::string id;
        std::string outcome;
        unsigned status = 0; ///< Of the target's response.
        Refusal refusal; ///< If the outcome is "refused".
        std::string route;
        std::string configuration;
        std::string target; ///< Of the last attempt.
        unsigned sends = 0;
        std::optional<std::chrono::milliseconds> stagesDuration;
        std::optional<std::chrono::milliseconds> timeToFirstEvent;
        std::optional<std::chrono::milliseconds> objective; ///< Of the route.
        std::chrono::milliseconds elapsed{0};
    };

    static void logCompletion(const Completion &completion);

    /// Logs that a request is sent again.
    static void logRepeat(const std::string &id, std::string_view cause, const std::string &target, unsigned sends,
                          std::chrono::milliseconds remaining);
};

} // namespace Guavalock
