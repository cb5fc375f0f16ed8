#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace Guavalock
{

template <class Struct>
class FieldTable;

/// How often a stand-in misbehaves, each as a share of its calls.
struct FakeFaults {
    double slow = 0; ///< Takes ten times as long.
    double fail = 0; ///< Runs and answers that it failed.
    double reject = 0; ///< Answers that it did not run the call.
    double drop = 0; ///< Runs and closes the connection without an answer.
    double truncate = 0; ///< Closes the connection within the answer.
    double cross = 0; ///< Answers with another call's answer.
    double crossEvents = 0; ///< Puts another call's events into a stream.
    double duplicate = 0; ///< Sends the whole answer twice, or each event twice.

    static const FieldTable<FakeFaults> &fields();
};

/// One stand-in target.
struct FakeTargetSettings {
    std::string kind; ///< generate, embed, rerank, retrieve or service.
    std::size_t port = 0;
    std::size_t slots = 8;
    std::size_t coldLimit = 1; ///< Calls that it bears while cold; more are counted as a violation.
    std::size_t coldCalls = 0; ///< Calls to finish before it is warm.
    std::chrono::milliseconds callTime{1};
    std::chrono::milliseconds tokenTime{0}; ///< Between tokens; zero sends them at once.
    std::size_t seed = 1;
    FakeFaults faults;

    static const FieldTable<FakeTargetSettings> &fields();
};

} // namespace Guavalock
