#pragma once

namespace Guavalock
{

/// The order in which shared tables are locked. A thread that holds a lock may only acquire locks of a higher rank.
///
/// Two locks of the same rank are never held at once. No lock is held across I/O or a coroutine suspension point.
enum class LockRank : int {
    Registry = 10,
    Configuration = 20,
    Quarantines = 25,
    Members = 30,
    Claims = 40,
    Organisations = 50,
    Requests = 60,
    Placements = 65,
    Targets = 70,
    Rollouts = 72,
    Budgets = 75,
    Connections = 80,
    LinkQueues = 85,
    Accounts = 90,
    Metrics = 100,
    Events = 110,
};

} // namespace Guavalock
