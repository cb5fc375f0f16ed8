// Which content is quarantined because of the crashes that a CrashLedger knows.

#include "Decisions/ContentHash.h"
#include "Decisions/CrashLedger.h"

#include <algorithm>
#include <iterator>
#include <limits>

namespace Guavalock
{

namespace
{

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

} // namespace Guavalock
