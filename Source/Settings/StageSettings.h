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
    std::string stage; ///< Name of the stage plug-in.
    std::string pool; ///< NAME for a pool of the same team, or TEAM/NAME.
    std::string owner; ///< Team responsible for the stage.
    std::chrono::milliseconds deadline{1'000};
    std::string model;
    std::string path; ///< HTTP path of service calls.
    bool idempotent = true;
    std::size_t attempts = 3;
    std::size_t topK = 5; ///< Number of documents that retrieval and reranking return.
    std::size_t maxTokens = 64; ///< Generation limit; a caller may request fewer.

    static const FieldTable<StageSettings> &fields();
};

} // namespace Guavalock
