#include "Settings/StageSettings.h"

#include "Settings/FieldTable.h"

namespace Guavalock
{

using std::chrono::milliseconds;

const FieldTable<StageSettings> &StageSettings::fields()
{
    static const FieldTable<StageSettings> table = [] {
        FieldTable<StageSettings> it;
        it.required("name", &StageSettings::name, "a name for the stage", plainName());
        it.required("stage", &StageSettings::stage, "a stage plug-in", pluginName("stage"));
        it.required("pool", &StageSettings::pool, "the pool that runs the stage", poolReference());
        it.required("owner", &StageSettings::owner, "the team responsible for the stage", plainName());
        it.required("deadline", &StageSettings::deadline, "the maximum duration of the stage, such as 300ms",
                    between(milliseconds(1), milliseconds(600'000)));
        it.optional("model", &StageSettings::model);
        it.optional("path", &StageSettings::path, httpPath());
        it.optional("idempotent", &StageSettings::idempotent);
        it.optional("attempts", &StageSettings::attempts, between<std::size_t>(1, 10));
        it.optional("top_k", &StageSettings::topK, between<std::size_t>(1, 1'000));
        it.optional("max_tokens", &StageSettings::maxTokens, between<std::size_t>(1, 100'000));
        return it;
    }();
    return table;
}

} // namespace Guavalock
