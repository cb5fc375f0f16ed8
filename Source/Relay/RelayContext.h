#pragma once

namespace Guavalock
{

class BacklogTable;
class BufferBudget;
class CatalogueTable;
class Clock;
class IdleConnectionLimit;
class ConnectionTable;
class CrashDetector;
class FleetTable;
class Metrics;
class PieceRouter;
class PlacementExchange;
class QuarantineTable;
class RelayCodec;
class RouteDurations;
class StopSchedule;
class FleetRetryBudget;
class StageTimes;
class UnansweredRequests;

/// Dependencies shared by all relayed requests. Every reference outlives the worker pool.
struct RelayContext {
    const Clock &clock;
    CatalogueTable &catalogue;
    FleetTable &fleet;
    ConnectionTable &connections;
    const IdleConnectionLimit &connectionShare;
    FleetRetryBudget &retryBudget;
    QuarantineTable &quarantines;
    CrashDetector &crashes;
    PieceRouter &pieces;
    PlacementExchange &placement;
    StageTimes &stageTimes;
    const BacklogTable &backlogs;
    RouteDurations &routeDurations;
    UnansweredRequests &unanswered;
    const StopSchedule &stopSchedule;
    BufferBudget &responseMemory;
    const RelayCodec &codec;
    Metrics &metrics;
};

} // namespace Guavalock
