#pragma once

namespace Guavalock
{

class CatalogueTable;
class Clock;
class IdleConnectionLimit;
class ConnectionTable;
class FleetTable;
class Metrics;
class PieceRouter;
class RelayCodec;
class FleetRetryBudget;
class StageTimes;

/// Dependencies shared by all relayed requests. Every reference outlives the worker pool.
struct RelayContext {
    const Clock &clock;
    CatalogueTable &catalogue;
    FleetTable &fleet;
    ConnectionTable &connections;
    const IdleConnectionLimit &connectionShare;
    FleetRetryBudget &retryBudget;
    PieceRouter &pieces;
    StageTimes &stageTimes;
    const RelayCodec &codec;
    Metrics &metrics;
};

} // namespace Guavalock
