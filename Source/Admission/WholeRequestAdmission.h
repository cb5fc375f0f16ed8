#pragma once

#include "Admission/BacklogEstimate.h"
#include "Kernel/Clock.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Guavalock
{

/// Decides at its arrival whether a request with stages is executed, before any stage work.
///
/// Answers an overload of any stage. A request refused by the queue of its second or third stage has already used the first ones, and a
/// request that is late anyway takes the turn of one that could be on time.
class WholeRequestAdmission
{
public:
    struct Stage {
        std::string service;
        std::vector<std::size_t> dependencies; ///< Indexes of the stages whose results it reads.
        std::size_t pieces = 0; ///< A stage without pieces is skipped.
        Clock::Duration typicalTime{0}; ///< From the submission of a piece to its result, without a recent report.
        std::optional<BacklogEstimate> backlog; ///< Of its service for the rank of the request.
        /// How long its service keeps a result; zero if unknown. Results that expire unread are made again.
        Clock::Duration resultLifetime{0};
    };

    struct Request {
        std::vector<Stage> stages;
        Clock::Duration answerTime{0}; ///< Expected time from the last stage to the first event of the response.
        Clock::TimePoint objective; ///< Latest start of a response that is on time.
        Clock::TimePoint firstEventDeadline; ///< Latest start of a response that a client still waits for.
    };

    struct Verdict {
        enum class Cause {
            None, ///< The request is admitted.
            Hopeless, ///< The response would start after the client has left.
            ResultsWouldExpire, ///< A stage would wait longer than the results that it reads are kept.
            LateUnderOverload, ///< The response would probably be late, and a service of the request is overloaded.
        };

        bool isAdmitted() const
        {
            return cause == Cause::None;
        }

        Cause cause = Cause::None;
        std::string service; ///< The service with the longest wait; empty without a recent report.
        Clock::Duration wait{0}; ///< The wait at that service.
        Clock::Duration expected{0}; ///< From now to the start of the response.
    };

    static Verdict decide(const Request &request, Clock::TimePoint now);

    /// Returns when a client may repeat a refused request: once the backlog ahead has been processed, spread by the hash of the request's
    /// id so that the refused requests don't return at once.
    static std::chrono::milliseconds retryAfter(Clock::Duration wait, std::uint64_t idHash, std::chrono::milliseconds routeTimeout);
};

} // namespace Guavalock
