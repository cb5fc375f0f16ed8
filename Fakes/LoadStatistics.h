#pragma once

#include <chrono>
#include <cstddef>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace Guavalock
{

/// Results of a load run. `mutex` guards the other members while the run is in progress.
struct LoadStatistics {
    std::mutex mutex;
    std::size_t sent = 0;
    std::size_t answered = 0; ///< Complete responses that match those of the fakes.
    std::size_t streamed = 0; ///< Completed requests whose response was streamed.
    std::size_t closed = 0; ///< Requests whose caller disconnected as planned.
    std::size_t cut = 0; ///< Requests whose connection ended without a complete response.
    std::size_t resent = 0;
    std::map<unsigned, std::size_t> refused; ///< Refusals by result code.
    std::vector<std::string> violations;
    std::vector<std::string> notRun; ///< Ids of the requests refused with `run: no`.
    std::map<std::string, bool> bookings; ///< Whether each booking completed, by idempotency key.
    std::map<std::string, std::string> history; ///< Outcome of each unsuccessful attempt, by request name.
    std::vector<std::chrono::microseconds> latencies; ///< Latencies of the completed requests other than bookings.
};

} // namespace Guavalock
