#pragma once

namespace Guavalock
{

class CatalogueTable;
class Clock;
class ConnectionShare;
class ConnectionTable;
class FleetTable;
class Metrics;
class PieceRouter;
class RelayCodec;
class RepeatBudget;
class StageTimes;

/// Dependencies shared by all relayed requests. Every reference outlives the worker pool.
struct RelayParts {
    const Clock &clock;
    CatalogueTable &catalogue;
    FleetTable &fleet;
    ConnectionTable &connections;
    const ConnectionShare &connectionShare;
    RepeatBudget &retryBudget;
    PieceRouter &pieces;
    StageTimes &stageTimes;
    const RelayCodec &codec;
    Metrics &metrics;
};

} // namespace Guavalock
