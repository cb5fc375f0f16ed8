#include "Settings/PipelineSettings.h"

#include "Settings/FieldTable.h"

#include <algorithm>

namespace Guavalock
{

using std::chrono::milliseconds;

const FieldTable<PipelineSettings> &PipelineSettings::fields()
{
    static const FieldTable<PipelineSettings> table = [] {
        FieldTable<PipelineSettings> it;
        it.optional("deadline", &PipelineSettings::deadline, between(milliseconds(1), milliseconds(600'000)));
        it.optional("objective", &PipelineSettings::objective, between(0.5, 0.9999));
        it.required("stages", &PipelineSettings::stages, "a list of stages", notEmpty<StageSettings>());
        return it;
    }();
    return table;
}

bool PipelineSettings::idempotent() const
{
    return std::ranges::all_of(stages, &StageSettings::idempotent);
}

} // namespace Guavalock
