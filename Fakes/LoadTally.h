#pragma once

#include <chrono>
#include <cstddef>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace Guavalock
{

/// What came of a load run. Guarded by its own mutex while the run goes on.
struct LoadTally {
    std::mutex mutex;
    std::size_t sent = 0;
    std::size_t answered = 0; ///< Whole answers, each checked against what the stand-ins have to give.
    std::size_t streamed = 0; ///< Of these, as events.
    std::size_t closed = 0; ///< Callers that went away on purpose.
    std::size_t cut = 0; ///< Requests whose connection ended without an answer or a refusal.
    std::size_t resent = 0;
    std::map<unsigned, std::size_t> refused; ///< By result code.
    std::vector<std::string> violations;
    std::vector<std::string> notRun; ///< Request ids of refusals that say `run: no`.
    std::map<std::string, bool> bookings; ///< By key, whether it was answered.
    std::map<std::string, std::string> history; ///< By name, what each try of a refused request got.
    std::vector<std::chrono::microseconds> latencies; ///< Of whole answers.
};

} // namespace Guavalock
