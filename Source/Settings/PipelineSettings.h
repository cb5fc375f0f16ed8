#pragma once

#include "Settings/StageSettings.h"

#include <chrono>
#include <string>
#include <vector>

namespace Guavalock
{

template <class Struct>
class FieldTable;

/// A pipeline: its stages in order, its default deadline and its service-level objective.
struct PipelineSettings {
    std::chrono::milliseconds deadline{8'000}; ///< For requests that state none.
    double objective = 0.99; ///< Share of requests to be answered by their deadline.
    std::vector<StageSettings> stages;

    static const FieldTable<PipelineSettings> &fields();

    /// Returns whether every stage may be repeated.
    bool idempotent() const;
};

} // namespace Guavalock
