#pragma once

#include <boost/asio/any_io_executor.hpp>

#include <string>

namespace Guavalock
{

class AccountTable;
class BufferBudget;
class Clock;
class ConfigurationTable;
class ConnectionTable;
class Metrics;
class PoisonTable;
class RequestTable;
class TargetTable;
struct ProcessSettings;

/// Shared components of one daemon. Every referenced object outlives the worker pool.
struct DaemonContext {
    const ProcessSettings &settings;
    const std::string &incarnation; ///< Unique to this daemon process.
    const Clock &clock;
    boost::asio::any_io_executor executor;
    Metrics &metrics;
    ConfigurationTable &configuration;
    RequestTable &requests;
    TargetTable &targets;
    ConnectionTable &connections;
    BufferBudget &responseMemory;
    AccountTable &accounts;
    PoisonTable &poison;
};

} // namespace Guavalock
