#include "Platform/ConfigurationService.h"

#include "Flow/Cancellation.h"
#include "Flow/OneShot.h"
#include "Kernel/Log.h"
#include "Pipeline/DaemonContext.h"
#include "Platform/LogRecords.h"
#include "Platform/LogWriter.h"
#include "Settings/Configuration.h"
#include "Settings/ConfigurationDocument.h"
#include "Settings/SettingsFile.h"
#include "Tables/TargetTable.h"

namespace Guavalock
{

namespace Asio = boost::asio;

ConfigurationService::ConfigurationService(const DaemonContext &context, LogWriter &writer)
    : m_context(context)
    , m_writer(writer)
    , m_follower(context, LogRecords::configurationStream, [this](const PlatformLog::Batch &batch) { processBatch(batch); })
{
}

void ConfigurationService::start(Relay relay)
{
    m_relay = std::move(relay);
    m_follower.start(0);
}

bool ConfigurationService::check(const ConfigurationRecord &record, Reason &reason)
{
    if (!ConfigurationDocument::isKnownPath(record.path)) {
        reason = {ResultCode::PathInvalid,
                  "'" + record.path + "' is not a configuration path; use one of " + ConfigurationDocument::knownPaths()};
        return false;
    }
    if (!record.value) {
        return true;
    }
    SettingsErrors errors;
    const std::optional<SettingsFile> file = SettingsFile::parse(*record.value, record.path, errors);
    if (file) {
        ConfigurationDocument::check(record.path, file->root(), errors);
    }
    if (!errors.empty()) {
        reason = {ResultCode::SettingsInvalid, errors.front().text()};
        return false;
    }
    return true;
}

Asio::awaitable<std::optional<std::uint64_t>> ConfigurationService::put(ConfigurationRecord record, Cancellation &cancellation,
                                                                        Reason &reason)
{
    if (!check(record, reason)) {
        co_return std::nullopt;
    }
    record.id = m_context.incarnation + ".c" + std::to_string(++m_changes);
    const auto decided = std::make_shared<OneShot<ConfigurationTable::Outcome>>(cancellation.strand());
    {
        const std::scoped_lock lock(m_waitingMutex);
        m_waiting[record.id] = [decided](ConfigurationTable::Outcome outcome) {
            decided->set(std::move(outcome));
        };
    }
    const Clock::TimePoint deadline = m_context.clock.now() + putTimeout;
    m_writer.append(LogWriter::Priority::Configuration, LogRecords::configurationStream, {record.id, LogRecords::write(record)}, deadline);
    const std::optional<ConfigurationTable::Outcome> outcome = co_await decided->wait(deadline, cancellation);
    {
        const std::scoped_lock lock(m_waitingMutex);
        m_waiting.erase(record.id);
    }
    if (!outcome) {
        reason = {ResultCode::AppendUnsettled,
                  "the change could not be confirmed within the timeout; read '" + record.path + "' again to check whether it took effect"};
        co_return std::nullopt;
    }
    if (outcome->verdict != ConfigurationTree::Verdict::Accepted) {
        reason = {ResultCode::VersionConflict,
                  "the subtree is at version " + std::to_string(outcome->version) + ", not " + std::to_string(record.expectedVersion)
                      + "; read it again and retry"};
        co_return std::nullopt;
    }
    co_return outcome->version;
}

void ConfigurationService::processBatch(const PlatformLog::Batch &batch)
{
    std::vector<ConfigurationTable::OffsetRecord> records;
    for (const PlatformLog::Record &it : batch.records) {
        m_writer.confirm(it.id);
        if (std::optional<ConfigurationRecord> record = LogRecords::parseConfiguration(it.id, it.data)) {
            records.push_back({it.offset, std::move(*record)});
        }
    }
    apply(records, batch.next);
}

bool ConfigurationService::applyFromPeer(const std::vector<ConfigurationTable::OffsetRecord> &records, std::uint64_t from,
                                         std::uint64_t next)
{
    if (from > m_context.configuration.nextOffset()) {
        return false;
    }
    apply(records, next);
    return true;
}

void ConfigurationService::restoreSnapshot(ConfigurationTree tree)
{
    const std::uint64_t next = tree.nextOffset();
    {
        const std::scoped_lock lock(m_applyMutex);
        if (!m_context.configuration.replaceIfNewer(std::move(tree))) {
            return;
        }
        updateTargets();
    }
    Log::info("configuration", "restored", {{"next", std::to_string(next)}});
}

void ConfigurationService::apply(const std::vector<ConfigurationTable::OffsetRecord> &records, std::uint64_t next)
{
    const std::uint64_t from = m_context.configuration.nextOffset();
    if (next <= from) {
        return;
    }
    std::vector<ConfigurationTable::Outcome> outcomes;
    {
        // The lock covers both the configuration table and the targets, so that an older configuration never replaces a newer one.
        const std::scoped_lock lock(m_applyMutex);
        outcomes = m_context.configuration.apply(records, next);
        updateTargets();
    }
    Log::info("configuration", "applied", {{"next", std::to_string(next)}, {"records", std::to_string(records.size())}});
    for (const auto &[path, text] : m_context.configuration.current()->rejected) {
        Log::warning("configuration", "document-rejected", {{"path", path}, {"reason", text}});
    }
    notifyWaiters(outcomes);
    if (m_relay) {
        m_relay(records, from, next);
    }
}

void ConfigurationService::updateTargets() const
{
    m_context.targets.applyConfiguration(*m_context.configuration.current());
}

void ConfigurationService::notifyWaiters(const std::vector<ConfigurationTable::Outcome> &outcomes)
{
    for (const ConfigurationTable::Outcome &it : outcomes) {
        if (it.verdict == ConfigurationTree::Verdict::AlreadyApplied) {
            continue;
        }
        OutcomeHandler handler;
        {
            const std::scoped_lock lock(m_waitingMutex);
            const auto waiting = m_waiting.find(it.id);
            if (waiting != m_waiting.end()) {
                handler = std::move(waiting->second);
                m_waiting.erase(waiting);
            }
        }
        if (handler) {
            handler(it);
        }
    }
}

Clock::Duration ConfigurationService::logAge(Clock::TimePoint now) const
{
    return m_follower.age(now);
}

} // namespace Guavalock
