#pragma once

namespace Guavalock
{

class CatalogueTable;
class Clock;
class FleetRetryBudget;
class FleetTable;
class Metrics;
class StageCodec;

/// What the batching of pieces depends on. Every reference outlives the worker pool.
struct BatchDependencies {
    const Clock &clock;
    CatalogueTable &catalogue;
    FleetTable &fleet;
    FleetRetryBudget &budget;
    const StageCodec &codec;
    Metrics &metrics;
};

} // namespace Guavalock
