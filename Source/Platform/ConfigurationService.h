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

/// Keeps the configuration in sync with the log, and applies operators' changes.
class ConfigurationService
{
public:
    /// Called with newly applied records, for forwarding to peers. They cover the log offsets from `from` up to, but not including,
    /// `next`.
    using Relay = std::function<void(const std::vector<ConfigurationTable::OffsetRecord> &, std::uint64_t from, std::uint64_t next)>;

    ConfigurationService(const DaemonContext &context, LogWriter &writer);

    void start(Relay relay);

    /// Changes or removes a document. Returns the new version of its subtree once the change is read back from the log as accepted,
    /// or nothing with a reason. After AppendUnsettled, the change may still take effect later.
    boost::asio::awaitable<std::optional<std::uint64_t>> put(ConfigurationRecord record, Cancellation &cancellation, Reason &reason);

    /// Applies records forwarded by a peer. Returns false if preceding records have not been applied yet.
    bool applyFromPeer(const std::vector<ConfigurationTable::OffsetRecord> &records, std::uint64_t from, std::uint64_t next);

    /// Adopts a peer's configuration tree if it has a higher log offset than the local one.
    void restoreSnapshot(ConfigurationTree tree);

    /// Returns the time since the last successful read of the log.
    Clock::Duration logAge(Clock::TimePoint now) const;

private:
    using OutcomeHandler = std::function<void(ConfigurationTable::Outcome)>;

    static constexpr std::chrono::milliseconds putTimeout{5'000};

    void processBatch(const PlatformLog::Batch &batch);
    void apply(const std::vector<ConfigurationTable::OffsetRecord> &records, std::uint64_t next);
    void updateTargets() const;
    void notifyWaiters(const std::vector<ConfigurationTable::Outcome> &outcomes);
    static bool check(const ConfigurationRecord &record, Reason &reason);

    const DaemonContext &m_context;
    LogWriter &m_writer;
    LogFollower m_follower;
    Relay m_relay;
    RankedMutex m_applyMutex{LockRank::Registry};
    RankedMutex m_waitingMutex{LockRank::Members};
    std::map<std::string, OutcomeHandler> m_waiting;
    std::atomic<std::uint64_t> m_changes{0};
};

} // namespace Guavalock
