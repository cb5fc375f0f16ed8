#pragma once

#include "Decisions/ConfigurationRecord.h"
#include "Kernel/RankedMutex.h"
#include "Kernel/Reason.h"
#include "Platform/LogFollower.h"
#include "Tables/ConfigurationTable.h"

#include <boost/asio/awaitable.hpp>

#include <atomic>
#include <functional>
#include <map>
#include <optional>

namespace Guavalock
{

class Cancellation;
class LogWriter;

/// Keeps the configuration in step with the log, and makes operators' changes.
class ConfigurationService
{
public:
    /// Called with records from an offset on that were applied here first, to pass them on to peers.
    using Relay = std::function<void(const std::vector<ConfigurationTable::Stamped> &, std::uint64_t from, std::uint64_t next)>;

    ConfigurationService(const Services &services, LogWriter &writer);

    void start(Relay relay);

    /// Changes or removes a document. Returns the new version of its subtree once the change is read back as accepted, or nothing
    /// with a reason. After AppendUnsettled the change may still come into force.
    boost::asio::awaitable<std::optional<std::uint64_t>> put(ConfigurationRecord record, Cancellation &cancellation, Reason &reason);

    /// Applies records that a peer passed on. Returns false when records before them are missing here.
    bool learned(const std::vector<ConfigurationTable::Stamped> &records, std::uint64_t from, std::uint64_t next);

    /// Takes over a peer's tree when that has applied more of the log.
    void restored(ConfigurationTree tree);

    /// Returns how long ago the end of the log was last read.
    Clock::Duration age(Clock::TimePoint now) const;

private:
    using Decided = std::function<void(ConfigurationTable::Outcome)>;

    static constexpr std::chrono::milliseconds putTimeout{5'000};

    void took(const PlatformLog::Batch &batch);
    void apply(const std::vector<ConfigurationTable::Stamped> &records, std::uint64_t next);
    void adopt() const;
    void decide(const std::vector<ConfigurationTable::Outcome> &outcomes);
    static bool check(const ConfigurationRecord &record, Reason &reason);

    const Services &m_services;
    LogWriter &m_writer;
    LogFollower m_follower;
    Relay m_relay;
    RankedMutex m_applying{LockRank::Registry};
    RankedMutex m_mutex{LockRank::Members};
    std::map<std::string, Decided> m_waiting;
    std::atomic<std::uint64_t> m_changes{0};
};

} // namespace Guavalock
