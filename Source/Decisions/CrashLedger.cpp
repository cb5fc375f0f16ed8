#include "Decisions/CrashLedger.h"

#include "Decisions/ContentHash.h"

#include <algorithm>
#include <iterator>
#include <limits>
#include <utility>

namespace Guavalock
{

namespace
{

/// Reports about one target within this time are about one crash, if the target's start time is not known. Of reports with a start time,
/// this applies only to those of one daemon, because a report's time doesn't contain the time of its transit, which can take seconds.
constexpr std::chrono::milliseconds sameCrash{500};

} // namespace

CrashLedger::CrashLedger(Limits limits, IsTrialDaemon isTrialDaemon)
    : m_limits(limits)
    , m_isTrialDaemon(std::move(isTrialDaemon))
{
}

void CrashLedger::recordCrash(const CrashReport &crash, Clock::TimePoint now)
{
    forgetOutdated(now);
    CrashReport report = crash;
    report.repetition = repetitionOf(crash);
    mergeCrash(report, now, m_news);
    decide(now);
}

void CrashLedger::recordResponse(const std::vector<std::uint64_t> &contents, Clock::TimePoint now)
{
    const std::size_t known = m_news.responses.size();
    for (const std::uint64_t it : contents) {
        mergeResponse(it, now, m_news);
    }
    if (m_news.responses.size() > known) {
        quarantineGuilty(now);
    }
}

ContentEvidence CrashLedger::merge(const ContentEvidence &evidence, Clock::TimePoint now)
{
    forgetOutdated(now);
    ContentEvidence news;
    // Responses are news only if their crash is known.
    for (const CrashReport &it : evidence.crashes) {
        mergeCrash(it, now, news);
    }
    for (const ContentEvidence::Response &it : evidence.responses) {
        mergeResponse(it.content, std::min(it.at, now), news);
    }
    for (const ContentEvidence::Quarantine &it : evidence.quarantines) {
        mergeQuarantine(it, now, news);
    }
    decide(now);
    return news;
}

void CrashLedger::mergeCrash(const CrashReport &report, Clock::TimePoint now, ContentEvidence &news)
{
    const Clock::TimePoint at = std::min(report.at, now);
    if (now - at > m_limits.memory) {
        return;
    }
    const auto known = std::ranges::find_if(m_crashes, [&](const Crash &it) { return it.isSame(report, at); });
    Crash *crash = known == m_crashes.end() ? addCrash(report, at) : &*known;
    if (crash == nullptr) {
        return;
    }
    crash->startTime = std::max(crash->startTime, report.startTime);
    std::vector<std::uint64_t> contents = report.contents;
    std::stable_partition(contents.begin(), contents.end(), [this](std::uint64_t it) { return !lastResponse(it); });
    CrashReport added{report.address, at, {}, crash->startTime, crash->repetition};
    std::vector<std::uint64_t> tried;
    for (const std::uint64_t it : contents) {
        if (crash->contents.size() >= m_limits.maxContentsPerCrash || !crash->contents.insert(it).second) {
            continue;
        }
        added.contents.push_back(it);
        tellResponse(it);
        if (const auto entry = m_quarantines.find(it); entry != m_quarantines.end() && at > entry->second.end) {
            tried.push_back(it);
        }
    }
    repeatQuarantines(tried, now);
    if (!added.contents.empty()) {
        news.crashes.push_back(std::move(added));
    }
}

bool CrashLedger::Crash::isSame(const CrashReport &report, Clock::TimePoint reported) const
{
    if (address != report.address) {
        return false;
    }
    const bool isKnown = startTime.count() != 0 && report.startTime.count() != 0;
    return isKnown ? startTime == report.startTime && repetition == report.repetition
                   : at - reported < sameCrash && reported - at < sameCrash;
}

unsigned CrashLedger::repetitionOf(const CrashReport &report) const
{
    const Crash *last = nullptr;
    for (const Crash &it : m_crashes) {
        const bool isIncarnation = it.address == report.address && it.startTime == report.startTime && it.startTime.count() != 0;
        last = isIncarnation && (last == nullptr || it.repetition > last->repetition) ? &it : last;
    }
    if (last == nullptr) {
        return 0;
    }
    return report.at - last->at < sameCrash ? last->repetition : last->repetition + 1;
}

CrashLedger::Crash *CrashLedger::addCrash(const CrashReport &report, Clock::TimePoint at)
{
    if (m_crashes.size() == m_limits.maxCrashes) {
        // The oldest is dropped in place of the first received, so that daemons that know too many remember the same ones.
        const auto oldest = std::ranges::min_element(m_crashes, {}, &Crash::at);
        if (at < oldest->at) {
            return nullptr;
        }
        m_crashes.erase(oldest);
    }
    m_crashes.push_back({report.address, report.startTime, report.repetition, at, {}});
    m_nextDecision = std::min(m_nextDecision, at + m_limits.settleTime);
    return &m_crashes.back();
}

void CrashLedger::mergeResponse(std::uint64_t content, Clock::TimePoint at, ContentEvidence &news)
{
    const auto entry = m_quarantines.find(content);
    const bool isQuarantined = entry != m_quarantines.end();
    const bool wasSuspect = isSuspect(content);
    if (ContentHash::isRequest(content) && !wasSuspect && !isQuarantined) {
        return; // Few requests are repeated.
    }
    const bool liftsQuarantine = isQuarantined && at > entry->second.lastCrash;
    const bool isFirst = wasSuspect && !lastResponse(content);
    rememberResponse(content, at);
    if (liftsQuarantine) {
        m_quarantines.erase(entry);
        ++m_quarantineVersion;
    }
    if (liftsQuarantine || isFirst || (wasSuspect && !isSuspect(content))) {
        news.responses.push_back({content, at});
        m_toldResponses.insert(content);
    }
}

void CrashLedger::tellResponse(std::uint64_t content)
{
    if (m_toldResponses.size() >= m_limits.maxContents) {
        m_toldResponses.clear();
    }
    if (const auto response = lastResponse(content); response && m_toldResponses.insert(content).second) {
        m_news.responses.push_back({content, *response});
    }
}

void CrashLedger::mergeQuarantine(const ContentEvidence::Quarantine &quarantine, Clock::TimePoint now, ContentEvidence &news)
{
    const Clock::TimePoint lastCrash = std::min(quarantine.lastCrash, now);
    if (const auto response = lastResponse(quarantine.content); response && *response > lastCrash) {
        m_news.responses.push_back({quarantine.content, *response});
        return;
    }
    if (quarantine.count == 0 || quarantine.end < lastCrash) {
        return;
    }
    Quarantine &entry = m_quarantines[quarantine.content];
    if (quarantine.count > entry.count) {
        entry = {lastCrash, quarantine.end, quarantine.end - lastCrash, quarantine.count, {}};
        news.quarantines.push_back(quarantine);
        ++m_quarantineVersion;
        limitQuarantines();
    }
}

void CrashLedger::forgetOutdated(Clock::TimePoint now)
{
    std::erase_if(m_crashes, [&](const Crash &it) { return now - it.at > m_limits.memory; });
    if (std::erase_if(m_quarantines, [&](const auto &it) { return now - it.second.end > m_limits.maxQuarantine; }) > 0) {
        ++m_quarantineVersion;
    }
}

void CrashLedger::rememberUse(std::uint64_t content)
{
    if (ContentHash::isRequest(content)) {
        return; // Few requests are repeated.
    }
    ++m_uses[content];
    if (m_uses.size() >= m_limits.maxContents / 2) {
        m_olderUses = std::exchange(m_uses, {});
    }
}

unsigned CrashLedger::useCount(std::uint64_t content) const
{
    unsigned count = 0;
    for (const Counts *it : {&m_uses, &m_olderUses}) {
        const auto entry = it->find(content);
        count += entry == it->end() ? 0 : entry->second;
    }
    return count;
}

void CrashLedger::rememberResponse(std::uint64_t content, Clock::TimePoint at)
{
    if (const auto known = lastResponse(content); known && *known >= at) {
        return;
    }
    m_responses[content] = at;
    if (m_responses.size() >= m_limits.maxContents / 2) {
        m_olderResponses = std::exchange(m_responses, {});
    }
}

std::optional<Clock::TimePoint> CrashLedger::lastResponse(std::uint64_t content) const
{
    for (const auto *it : {&m_responses, &m_olderResponses}) {
        if (const auto entry = it->find(content); entry != it->end()) {
            return entry->second;
        }
    }
    return std::nullopt;
}

bool CrashLedger::isSuspect(std::uint64_t content) const
{
    const auto response = lastResponse(content);
    return std::ranges::any_of(m_crashes,
                               [&](const Crash &it) { return (!response || it.at > *response) && it.contents.contains(content); });
}

bool CrashLedger::refusesRepeats(const std::vector<std::uint64_t> &contents) const
{
    return std::ranges::any_of(contents, [this](std::uint64_t it) { return m_quarantines.contains(it); });
}

unsigned CrashLedger::quarantineVersion() const
{
    return m_quarantineVersion;
}

std::optional<Clock::Duration> CrashLedger::refuseNew(const std::vector<std::uint64_t> &contents, Clock::TimePoint now)
{
    decide(now);
    std::vector<std::uint64_t> untried;
    for (const std::uint64_t it : contents) {
        rememberUse(it);
        if (m_quarantines.contains(it)) {
            untried.push_back(it);
        }
    }
    if (const auto refusal = refuseSend(contents, now); refusal || untried.empty()) {
        return refusal;
    }
    // One content stands for all, so that one daemon can try requests with several.
    const std::uint64_t content = std::ranges::min(untried);
    const Quarantine &quarantine = m_quarantines[content];
    const auto period = static_cast<unsigned>((now - quarantine.end) / m_limits.trialPeriod);
    const Clock::TimePoint periodEnd = quarantine.end + (period + 1) * m_limits.trialPeriod;
    const bool wasTried = std::ranges::any_of(untried, [&](std::uint64_t it) { return m_quarantines[it].trialEnd > now; });
    if (wasTried || !m_isTrialDaemon(content, period)) {
        return periodEnd - now;
    }
    for (const std::uint64_t it : untried) {
        m_quarantines[it].trialEnd = periodEnd;
    }
    return std::nullopt;
}

std::optional<Clock::Duration> CrashLedger::refuseSend(const std::vector<std::uint64_t> &contents, Clock::TimePoint now) const
{
    for (const std::uint64_t it : contents) {
        const auto entry = m_quarantines.find(it);
        if (entry != m_quarantines.end() && now < entry->second.end) {
            return entry->second.end - now;
        }
    }
    return std::nullopt;
}

ContentEvidence CrashLedger::takeNews()
{
    return std::exchange(m_news, {});
}

bool CrashLedger::hasNews() const
{
    return !m_news.empty();
}

ContentEvidence CrashLedger::snapshot(Clock::TimePoint now) const
{
    ContentEvidence evidence;
    std::set<std::uint64_t> contents;
    for (const Crash &it : m_crashes) {
        if (now - it.at <= m_limits.memory) {
            evidence.crashes.push_back({it.address, it.at, {it.contents.begin(), it.contents.end()}, it.startTime, it.repetition});
            contents.insert(it.contents.begin(), it.contents.end());
        }
    }
    for (const std::uint64_t it : contents) {
        if (const auto response = lastResponse(it)) {
            evidence.responses.push_back({it, *response});
        }
    }
    evidence.quarantines = quarantines(now);
    return evidence;
}

std::vector<ContentEvidence::Quarantine> CrashLedger::quarantines(Clock::TimePoint now) const
{
    std::vector<ContentEvidence::Quarantine> list;
    for (const auto &[content, it] : m_quarantines) {
        if (now - it.end <= m_limits.maxQuarantine) {
            list.push_back({content, it.lastCrash, it.end, it.count});
        }
    }
    return list;
}

std::size_t CrashLedger::crashCount() const
{
    return m_crashes.size();
}

std::size_t CrashLedger::crashesWith(std::uint64_t content) const
{
    return static_cast<std::size_t>(std::ranges::count_if(m_crashes, [&](const Crash &it) { return it.contents.contains(content); }));
}

} // namespace Guavalock
