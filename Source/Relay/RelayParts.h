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

/// What relayed requests share. Every reference outlives the worker pool.
struct RelayParts {
    const Clock &clock;
    CatalogueTable &catalogue;
    FleetTable &fleet;
    ConnectionTable &connections;
    const ConnectionShare &connectionShare;
    RepeatBudget &budget;
    PieceRouter &pieces;
    StageTimes &times;
    const RelayCodec &codec;
    Metrics &metrics;
};

} // namespace Guavalock
