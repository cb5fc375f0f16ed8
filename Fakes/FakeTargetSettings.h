#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace Guavalock
{

template <class Struct>
class FieldTable;

/// Probability of each injected fault for a call.
struct FakeFaults {
    double slow = 0; ///< Multiplies the call time by ten.
    double fail = 0; ///< Executes the call and responds with an error.
    double reject = 0; ///< Responds that the call was not executed.
    double drop = 0; ///< Executes the call and closes the connection without a response.
    double truncate = 0; ///< Closes the connection in the middle of the response.
    double cross = 0; ///< Sends the response of another call.
    double swapEvent = 0; ///< Sends one event of the stream with the id of another call.
    double duplicate = 0; ///< Sends the response twice, or each event of a stream twice.

    static const FieldTable<FakeFaults> &fields();
};

/// Settings of one fake target.
struct FakeTargetSettings {
    std::string kind; ///< generate, embed, rerank, retrieve or service.
    std::size_t port = 0;
    std::size_t slots = 8;
    std::size_t coldLimit = 1; ///< Concurrent calls allowed while cold; calls above it are counted as violations.
    std::size_t coldCalls = 0; ///< Calls to complete before the target is warm.
    std::chrono::milliseconds callTime{1};
    std::chrono::milliseconds tokenTime{0}; ///< Delay between tokens; zero sends them in one chunk.
    std::size_t seed = 1;
    FakeFaults faults;

    static const FieldTable<FakeTargetSettings> &fields();
};

} // namespace Guavalock
