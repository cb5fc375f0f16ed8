#pragma once

#include "Settings/StageSettings.h"

#include <chrono>
#include <string>
#include <vector>

namespace Guavalock
{

template <class Struct>
class FieldTable;

/// A pipeline: its stages in order, default deadline and service-level objective.
struct PipelineSettings {
    std::chrono::milliseconds deadline{8'000}; ///< Default for requests without a deadline.
    double objective = 0.99; ///< Fraction of requests to be answered before their deadline.
    std::vector<StageSettings> stages;

    static const FieldTable<PipelineSettings> &fields();

    /// Returns whether every stage is idempotent, so that it may be retried.
    bool idempotent() const;
};

} // namespace Guavalock
