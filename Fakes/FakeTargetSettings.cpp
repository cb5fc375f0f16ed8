#include "FakeTargetSettings.h"

#include "Settings/FieldTable.h"

namespace Guavalock
{

const FieldTable<FakeFaults> &FakeFaults::fields()
{
    static const FieldTable<FakeFaults> table = [] {
        FieldTable<FakeFaults> it;
        it.optional("slow", &FakeFaults::slow, between(0.0, 1.0));
        it.optional("fail", &FakeFaults::fail, between(0.0, 1.0));
        it.optional("reject", &FakeFaults::reject, between(0.0, 1.0));
        it.optional("drop", &FakeFaults::drop, between(0.0, 1.0));
        it.optional("truncate", &FakeFaults::truncate, between(0.0, 1.0));
        it.optional("cross", &FakeFaults::cross, between(0.0, 1.0));
        it.optional("cross_events", &FakeFaults::swapEvent, between(0.0, 1.0));
        it.optional("duplicate", &FakeFaults::duplicate, between(0.0, 1.0));
        return it;
    }();
    return table;
}

const FieldTable<FakeTargetSettings> &FakeTargetSettings::fields()
{
    static const FieldTable<FakeTargetSettings> table = [] {
        FieldTable<FakeTargetSettings> it;
        it.required("kind", &FakeTargetSettings::kind, "generate, embed, rerank, retrieve or service");
        it.required("port", &FakeTargetSettings::port, "a TCP port", between<std::size_t>(1, 65'535));
        it.optional("slots", &FakeTargetSettings::slots);
        it.optional("cold_limit", &FakeTargetSettings::coldLimit);
        it.optional("cold_calls", &FakeTargetSettings::coldCalls);
        it.optional("call_time", &FakeTargetSettings::callTime);
        it.optional("token_time", &FakeTargetSettings::tokenTime);
        it.optional("seed", &FakeTargetSettings::seed);
        it.optional("faults", &FakeTargetSettings::faults);
        return it;
    }();
    return table;
}

} // namespace Guavalock
