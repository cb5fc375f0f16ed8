#include "Settings/PoolSettings.h"

#include "Settings/FieldTable.h"

namespace Guavalock
{

using std::chrono::milliseconds;

const FieldTable<PoolSettings> &PoolSettings::fields()
{
    static const FieldTable<PoolSettings> table = [] {
        FieldTable<PoolSettings> it;
        it.required("dialect", &PoolSettings::dialect, "the protocol dialect of the targets", pluginName("dialect"));
        it.optional("policy", &PoolSettings::policy, pluginName("policy"));
        it.optional("connect_timeout", &PoolSettings::connectTimeout, between(milliseconds(1), milliseconds(60'000)));
        it.optional("queue", &PoolSettings::queue, between<std::size_t>(0, 100'000));
        it.required("targets", &PoolSettings::targets, "a list of targets", notEmpty<TargetSettings>());
        return it;
    }();
    return table;
}

} // namespace Guavalock
