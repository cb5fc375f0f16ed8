#pragma once

#include <chrono>
#include <cstddef>
#include <string>

namespace Guavalock
{

template <class Struct>
class FieldTable;

/// One stage of a pipeline.
struct StageSettings {
    std::string name;
    std::string stage; ///< The stage plug-in.
    std::string pool; ///< NAME in the same team, or TEAM/NAME.
    std::string owner; ///< The team that answers for the stage.
    std::chrono::milliseconds deadline{1'000};
    std::string model;
    std::string path; ///< For services: the HTTP path of the call.
    bool idempotent = true;
    std::size_t attempts = 3;
    std::size_t topK = 5; ///< Documents kept by retrieval and reranking.
    std::size_t maxTokens = 64; ///< For generation, unless the caller asks for fewer.

    static const FieldTable<StageSettings> &fields();
};

} // namespace Guavalock
