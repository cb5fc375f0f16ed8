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

constexpr std::chrono::milliseconds sameCrash{500}; ///< Reports about one target within this time are about one crash.
constexpr std::chrono::milliseconds commonCause{50}; ///< Crashes of several targets within this time have a cause other than content.
constexpr unsigned minCrashes = 2; ///< For content that never had a response, if no other such content had as many.
constexpr unsigned minCrashesAfterResponse = 3; ///< The same for content that had responses before.
constexpr unsigned minCrashesOfRequests = 3; ///< For whole requests among several contents that had the most crashes.
constexpr unsigned minCrashesOfSeveral = 5; ///< For parts among several. Until then, responses tell most of them apart.
constexpr unsigned rareFactor = 2; ///< Content is rare if it has at most this multiple of the uses of the rarest.

unsigned highestCount(const std::map<std::uint64_t, unsigned> &counts)
{
    unsigned highest = 0;
    for (const auto &[content, count] : counts) {
        highest = std::max(highest, count);
    }
    return highest;
}

} // namespace

CrashLedger::CrashLedger(Limits limits, IsTrialDaemon isTrialDaemon)
    : m_limits(limits)
    , m_isTrialDaemon(std::move(isTrialDaemon))
{
}

void CrashLedger::recordCrash(const CrashReport &crash, Clock::TimePoint now)
{
    forgetOutdated(now);
    mergeCrash(crash, now, m_news);
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
    const auto isSame = [&](const Crash &it) {
        return it.address == report.address && it.at - at < sameCrash && at - it.at < sameCrash;
    };
    auto crash = std::ranges::find_if(m_crashes, isSame);
    if (crash == m_crashes.end()) {
        if (m_crashes.size() == m_limits.maxCrashes) {
            m_crashes.pop_front();
        }
        m_crashes.push_back({report.address, at, {}});
        crash = std::prev(m_crashes.end());
        m_nextDecision = std::min(m_nextDecision, at + m_limits.settleTime);
    }
    std::vector<std::uint64_t> contents = report.contents;
    std::stable_partition(contents.begin(), contents.end(), [this](std::uint64_t it) { return !lastResponse(it); });
    CrashReport added{report.address, at, {}};
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

CrashLedger::Counts CrashLedger::countCrashes(Clock::TimePoint now) const
{
    const auto isExplained = [this](const Crash &crash) {
        return std::ranges::any_of(m_quarantines, [&](const auto &it) { return crash.contents.contains(it.first); });
    };
    std::map<std::uint64_t, std::vector<const Crash *>> crashes;
    for (const Crash &crash : m_crashes) {
        if (now < crash.at + m_limits.settleTime || isExplained(crash)) {
            continue;
        }
        for (const std::uint64_t it : crash.contents) {
            const auto response = lastResponse(it);
            if (!response || crash.at > *response) {
                crashes[it].push_back(&crash);
            }
        }
    }
    Counts counts;
    for (auto &[content, list] : crashes) {
        std::ranges::sort(list, {}, &Crash::at);
        unsigned &count = counts[content];
        count = 1;
        bool isOneTarget = true;
        for (std::size_t it = 1; it < list.size(); ++it) {
            count += list[it]->at - list[it - 1]->at > commonCause ? 1 : 0;
            isOneTarget = isOneTarget && list[it]->address == list.front()->address;
        }
        if (isOneTarget) {
            count = (count + 1) / 2;
        }
    }
    return counts;
}

std::vector<std::uint64_t> CrashLedger::selectMost(const Counts &counts, unsigned minimum) const
{
    const unsigned most = highestCount(counts);
    std::vector<std::uint64_t> selected;
    for (const auto &[content, count] : counts) {
        if (count == most) {
            selected.push_back(content);
        }
    }
    if (selected.size() == 1) {
        return most >= minimum ? selected : std::vector<std::uint64_t>();
    }
    std::vector<std::uint64_t> requests;
    std::ranges::copy_if(selected, std::back_inserter(requests), &ContentHash::isRequest);
    if (!requests.empty() && most >= minCrashesOfRequests) {
        return requests;
    }
    return most >= minCrashesOfSeveral ? selectRare(selected) : std::vector<std::uint64_t>();
}

std::vector<std::uint64_t> CrashLedger::selectRare(const std::vector<std::uint64_t> &contents) const
{
    unsigned fewest = std::numeric_limits<unsigned>::max();
    for (const std::uint64_t it : contents) {
        fewest = std::min(fewest, useCount(it));
    }
    std::vector<std::uint64_t> selected;
    std::ranges::copy_if(contents, std::back_inserter(selected),
                         [&](std::uint64_t it) { return useCount(it) <= rareFactor * std::max(fewest, 1U); });
    return selected;
}

std::vector<std::uint64_t> CrashLedger::selectGuilty(Clock::TimePoint now) const
{
    Counts withoutResponse = countCrashes(now);
    Counts withResponse;
    for (auto it = withoutResponse.begin(); it != withoutResponse.end();) {
        if (lastResponse(it->first)) {
            withResponse.insert(*it);
            it = withoutResponse.erase(it);
        } else {
            ++it;
        }
    }
    std::vector<std::uint64_t> selected = selectMost(withoutResponse, minCrashes);
    // Content that had responses is blamed only for crashes that no other content explains as well.
    const bool isExplained = highestCount(withoutResponse) >= highestCount(withResponse);
    return selected.empty() && !isExplained ? selectMost(withResponse, minCrashesAfterResponse) : selected;
}

void CrashLedger::decide(Clock::TimePoint now)
{
    if (now < m_nextDecision) {
        return;
    }
    m_nextDecision = Clock::TimePoint::max();
    for (const Crash &it : m_crashes) {
        if (now < it.at + m_limits.settleTime) {
            m_nextDecision = std::min(m_nextDecision, it.at + m_limits.settleTime);
        }
    }
    quarantineGuilty(now);
}

void CrashLedger::quarantineGuilty(Clock::TimePoint now)
{
    // Each quarantine explains crashes, so that less content is left.
    std::vector<std::uint64_t> guilty = selectGuilty(now);
    while (!guilty.empty()) {
        for (const std::uint64_t it : guilty) {
            beginQuarantine(it, guilty.size() == 1 ? m_limits.firstQuarantine : m_limits.ambiguousQuarantine, now);
        }
        guilty = selectGuilty(now);
    }
}

void CrashLedger::beginQuarantine(std::uint64_t content, Clock::Duration time, Clock::TimePoint now)
{
    Clock::TimePoint lastCrash = Clock::TimePoint::min();
    for (const Crash &it : m_crashes) {
        if (it.contents.contains(content)) {
            lastCrash = std::max(lastCrash, it.at);
        }
    }
    Quarantine &entry = m_quarantines[content];
    entry = {std::min(lastCrash, now), now + time, time, entry.count + 1, {}};
    m_news.quarantines.push_back({content, entry.lastCrash, entry.end, entry.count});
    ++m_quarantineVersion;
    limitQuarantines();
}

void CrashLedger::repeatQuarantines(const std::vector<std::uint64_t> &contents, Clock::TimePoint now)
{
    for (const std::uint64_t it : contents) {
        // Of several, some are the company of the others.
        const Clock::Duration next = std::clamp(2 * m_quarantines[it].time, m_limits.firstQuarantine, m_limits.maxQuarantine);
        beginQuarantine(it, contents.size() == 1 ? next : m_limits.ambiguousQuarantine, now);
    }
}

void CrashLedger::limitQuarantines()
{
    if (m_quarantines.size() > m_limits.maxQuarantines) {
        m_quarantines.erase(std::ranges::min_element(m_quarantines, {}, [](const auto &it) { return it.second.end; }));
    }
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
            evidence.crashes.push_back({it.address, it.at, {it.contents.begin(), it.contents.end()}});
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
