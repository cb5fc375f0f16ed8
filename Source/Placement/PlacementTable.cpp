#include "Placement/PlacementTable.h"

#include <algorithm>
#include <array>
#include <limits>
#include <utility>

namespace Guavalock
{

namespace
{

using Seconds = ResponseTimeModel::Seconds;

/// Starting value: at a target whose memory is full, generating tokens for the running requests takes this share of the time of prompt
/// processing. Deviations enter the learned slowness of targets.
constexpr double generationShare = 0.6;
/// Delay that the processing of a prompt causes for others, relative to its own duration: requests that arrive while it lasts wait for it,
/// running ones get their tokens later, and the parts that it displaces are processed again.
constexpr double delayForOthers = 6;
/// Delay of the tokens of all running requests, in seconds, that a request causes at a target of usual speed whose memory is full. Spreads
/// requests while targets are idle, so that the fastest ones don't hold most of the requests and of the cached parts.
constexpr double generationDelay = 0.5;
constexpr double remotePenalty = 1.02; ///< Cost factor of a target in another data centre, as in the chooser of single daemons.
constexpr double minHealth = 0.05; ///< Lower bound, so that the cost of a failing target stays finite.
constexpr std::size_t maxNewParts = 256; ///< By target, between two totals; far above what one target is given in that time.
/// Costs within this margin are a tie: differences below it are within the error of the estimate.
constexpr double tieFactor = 1.02;
constexpr double tieSeconds = 0.02;

/// Returns the rendezvous hash of a target for a prompt part, from the hashes of both.
std::uint64_t mix(std::uint64_t part, std::uint64_t target)
{
    std::uint64_t value = (part ^ target) * 0x9E3779B97F4A7C15ULL; // Multiplier of Fibonacci hashing.
    value ^= value >> 32U;
    return value * 0x9E3779B97F4A7C15ULL;
}

std::size_t tokensOf(const std::vector<PromptPart> &parts)
{
    std::size_t sum = 0;
    for (const PromptPart &it : parts) {
        sum += it.tokens;
    }
    return sum;
}

} // namespace

PlacementTable::PlacementTable(ModelCapacity capacity)
    : m_capacity(capacity)
{
}

bool PlacementTable::fits(const ModelCapacity &capacity, std::size_t promptTokens, std::size_t outputTokens)
{
    return promptTokens <= capacity.tokens && outputTokens <= capacity.tokens - promptTokens;
}

void PlacementTable::setCapacity(ModelCapacity capacity)
{
    m_capacity = capacity;
}

void PlacementTable::clearTarget(std::size_t target)
{
    m_cachedParts.clear(target);
    m_newParts.erase(target);
    std::erase_if(m_placements, [target](const auto &it) { return it.second.target == target; });
}

void PlacementTable::setTargets(const std::vector<PlacementCandidate> &candidates)
{
    std::vector<bool> known(m_targets.size(), false);
    std::vector<const PlacementCandidate *> added;
    for (const PlacementCandidate &it : candidates) {
        const auto index = m_indices.find(it.id);
        if (index == m_indices.end()) {
            added.push_back(&it);
            continue;
        }
        std::optional<TargetWork> &target = m_targets[index->second];
        known[index->second] = true;
        if (target->candidate().startTime != it.startTime) {
            clearTarget(index->second);
            target.emplace(it);
        } else {
            target->setCandidate(it);
        }
    }
    for (std::size_t it = 0; it < known.size(); ++it) {
        if (m_targets[it] && !known[it]) {
            clearTarget(it);
            m_indices.erase(m_targets[it]->candidate().id);
            m_targets[it].reset();
        }
    }
    for (const PlacementCandidate *it : added) {
        auto free = std::ranges::find_if(m_targets, [](const auto &target) { return !target.has_value(); });
        if (free == m_targets.end()) {
            free = m_targets.emplace(m_targets.end());
        }
        free->emplace(*it);
        m_indices[it->id] = static_cast<std::size_t>(free - m_targets.begin());
    }
    updateRemote();
}

PlacementTable::Estimate PlacementTable::estimate(std::size_t target, const PlacementQuery &query, Clock::TimePoint now) const
{
    const TargetWork &work = *m_targets[target];
    const TargetWork::Amount total = work.total(now);
    const double slowness = work.slowness(now);
    const double capacity = static_cast<double>(std::max<std::size_t>(m_capacity.tokens, 1));
    const double needed = static_cast<double>(total.tokens + query.promptTokens + query.outputTokens);
    const double generation = 1 + generationShare * std::min(static_cast<double>(total.tokens) / capacity, 1.0);
    const double timePerToken = m_times.timePerToken().count() * generation * slowness;
    const std::size_t shared = std::min(m_cachedTokens[target], query.promptTokens);
    const double own = static_cast<double>(query.promptTokens - shared);
    double ahead = static_cast<double>(total.waitingTokens);
    if (work.waiting() > 0) {
        const double done = Seconds(work.headTime(now)).count() / timePerToken;
        ahead -= std::min(done, static_cast<double>(work.own().waitingTokens) / static_cast<double>(work.waiting()));
    }
    Estimate result;
    result.tokensAhead = (ahead + own) * generation;
    result.hasRoom = needed <= capacity;
    double time = m_times.expected(result.tokensAhead).count() * slowness;
    const double turnover = m_times.duration().count();
    if (total.requests >= m_capacity.slots && m_capacity.slots > 0) {
        const std::size_t turns = total.requests - m_capacity.slots + 1;
        time += turnover * static_cast<double>(turns) / static_cast<double>(m_capacity.slots);
    }
    if (!result.hasRoom) {
        time += turnover * (needed - capacity) / capacity;
    }
    time += delayForOthers * own * timePerToken;
    time += generationDelay * slowness * needed / capacity;
    const bool near = query.dataCentre.empty() || work.candidate().dataCentre == query.dataCentre;
    if (!near) {
        // Counts like prompt tokens, for which the transfer is stated.
        const double processing = static_cast<double>(query.remoteTokens) * m_times.timePerToken().count();
        time = time * remotePenalty + (1 + delayForOthers) * processing;
    }
    const double health = std::max(work.health(), minHealth);
    result.cost = time / (health * health);
    return result;
}

std::optional<std::size_t> PlacementTable::select(const PlacementQuery &query, Clock::TimePoint now)
{
    m_cachedTokens.assign(m_targets.size(), 0);
    m_estimates.resize(m_targets.size());
    m_cachedParts.find(query.parts, m_cachedTokens);
    double least = std::numeric_limits<double>::infinity();
    bool leastHasRoom = false;
    for (std::size_t it = 0; it < m_targets.size(); ++it) {
        Estimate &estimated = m_estimates[it];
        estimated.cost = std::numeric_limits<double>::infinity();
        if (!m_targets[it] || !m_targets[it]->candidate().usable || m_targets[it]->isSuspect(now)) {
            continue;
        }
        if (!query.triedTargets.empty()
            && std::ranges::find(query.triedTargets, m_targets[it]->candidate().id) != query.triedTargets.end()) {
            continue;
        }
        estimated = estimate(it, query, now);
        const bool better = estimated.hasRoom == leastHasRoom ? estimated.cost < least : estimated.hasRoom;
        if (better) {
            least = estimated.cost;
            leastHasRoom = estimated.hasRoom;
        }
    }
    const std::uint64_t seed = query.parts.empty() ? query.number : query.parts.back().hash;
    const double limit = least * tieFactor + tieSeconds;
    std::optional<std::size_t> best;
    std::uint64_t bestHash = 0;
    for (std::size_t it = 0; it < m_targets.size() && least < std::numeric_limits<double>::infinity(); ++it) {
        if (m_estimates[it].cost > limit || m_estimates[it].hasRoom != leastHasRoom) {
            continue;
        }
        const std::uint64_t hash = mix(seed, m_targets[it]->hash());
        if (!best || hash > bestHash) {
            best = it;
            bestHash = hash;
        }
    }
    return best;
}

std::optional<std::string> PlacementTable::place(const std::string &origin, const PlacementQuery &query, Clock::TimePoint now)
{
    const std::optional<std::size_t> target = select(query, now);
    if (!target) {
        return std::nullopt;
    }
    const PlacementKey key{origin, query.number};
    if (const auto it = m_placements.find(key); it != m_placements.end()) {
        remove(it);
    }
    add(key, query, *target, now);
    return m_targets[*target]->candidate().id;
}

void PlacementTable::add(const PlacementKey &key, const PlacementQuery &query, std::size_t target, Clock::TimePoint now)
{
    const std::size_t cached = std::min(m_cachedTokens[target], query.promptTokens);
    const std::size_t shared = tokensOf(query.parts);
    m_statistics.cachedTokens += cached;
    m_statistics.processedTokens += shared - std::min(cached, shared);
    TargetWork &work = *m_targets[target];
    const Estimate estimated = estimate(target, query, now);
    Placement placement;
    placement.target = target;
    placement.tokens = query.promptTokens + query.outputTokens;
    placement.privateTokens = placement.tokens - std::min(shared, placement.tokens);
    placement.work = query.promptTokens - cached;
    placement.tokensAhead = estimated.tokensAhead;
    placement.deadline = now + query.timeout;
    work.add(placement.tokens, placement.privateTokens, placement.work, now);
    m_placements[key] = placement;
    useParts(target, query.parts);
    for (const PromptPart &it : query.parts) {
        std::vector<PromptPart> &added = m_newParts[target];
        if (added.size() < maxNewParts && std::ranges::find(added, it) == added.end()) {
            added.push_back(it);
        }
    }
}

void PlacementTable::useParts(std::size_t target, const std::vector<PromptPart> &parts)
{
    const std::size_t used = std::min(m_capacity.tokens, m_targets[target]->privateTokens());
    m_cachedParts.use(target, parts, m_capacity.tokens - used);
}

std::map<PlacementKey, PlacementTable::Placement>::iterator PlacementTable::remove(std::map<PlacementKey, Placement>::iterator it)
{
    const Placement &placement = it->second;
    TargetWork &work = *m_targets[placement.target];
    if (!placement.started) {
        work.removeWaiting(placement.work);
    }
    work.remove(placement.tokens, placement.privateTokens);
    return m_placements.erase(it);
}

void PlacementTable::apply(const std::string &origin, const PlacementReport &report, Clock::TimePoint now)
{
    // In the order of PlacementReport::Event.
    static constexpr std::array<Handler, 6> handlers{&PlacementTable::recordPlaced, &PlacementTable::recordStart,
                                                     &PlacementTable::recordEnd,    &PlacementTable::recordEnd,
                                                     &PlacementTable::recordEnd,    &PlacementTable::recordEnd};
    (this->*handlers.at(static_cast<std::size_t>(report.event)))({origin, report.query.number}, report, now);
}

void PlacementTable::recordPlaced(const PlacementKey &key, const PlacementReport &report, Clock::TimePoint now)
{
    const auto index = m_indices.find(report.target);
    if (const auto it = m_placements.find(key); it != m_placements.end()) {
        if (index != m_indices.end() && it->second.target == index->second) {
            return; // A daemon that was linked again tells of all its requests.
        }
        remove(it);
    }
    if (index == m_indices.end()) {
        return;
    }
    m_cachedTokens.assign(m_targets.size(), 0);
    m_cachedParts.find(report.query.parts, m_cachedTokens);
    add(key, report.query, index->second, now);
    if (report.started) {
        Placement &placement = m_placements.at(key);
        placement.started = true;
        m_targets[placement.target]->start(placement.work, now);
    }
}

void PlacementTable::recordStart(const PlacementKey &key, const PlacementReport &report, Clock::TimePoint now)
{
    const auto it = m_placements.find(key);
    if (it == m_placements.end() || it->second.started) {
        return;
    }
    Placement &placement = it->second;
    TargetWork &work = *m_targets[placement.target];
    placement.started = true;
    work.start(placement.work, now);
    const double stated = report.load ? report.load->slowdown.value_or(1) : work.statedSlowness(now);
    const double seconds = Seconds(report.duration).count() / std::max(stated, 0.1);
    work.recordRatio(seconds / m_times.expected(placement.tokensAhead).count(), now);
    if (report.load) {
        work.recordLoad(*report.load, now);
    }
    const double learned = work.slowness(now) / work.statedSlowness(now);
    m_times.recordStart(placement.tokensAhead, Seconds(seconds / learned), now);
}

void PlacementTable::recordEnd(const PlacementKey &key, const PlacementReport &report, Clock::TimePoint now)
{
    const auto it = m_placements.find(key);
    if (it == m_placements.end()) {
        return;
    }
    TargetWork &work = *m_targets[it->second.target];
    if (report.event == PlacementReport::Event::Completed) {
        work.recordHealth(true);
        m_times.recordEnd(report.duration);
    } else if (report.event == PlacementReport::Event::Failed) {
        work.recordHealth(false);
    } else if (report.event == PlacementReport::Event::Lost) {
        work.recordLoss(now);
    }
    if (report.load && !it->second.started) {
        work.recordLoad(*report.load, now);
    }
    remove(it);
}

void PlacementTable::setRemote(const std::string &owner, const std::vector<PlacementTotal> &totals, Clock::TimePoint now)
{
    m_remotes[owner] = {totals, now};
    for (const PlacementTotal &it : totals) {
        if (const auto index = m_indices.find(it.target); index != m_indices.end()) {
            useParts(index->second, it.parts);
        }
    }
    updateRemote();
}

void PlacementTable::updateRemote()
{
    std::vector<TargetWork::Amount> sums(m_targets.size());
    for (const auto &[owner, remote] : m_remotes) {
        for (const PlacementTotal &it : remote.totals) {
            if (const auto index = m_indices.find(it.target); index != m_indices.end()) {
                TargetWork::Amount &sum = sums[index->second];
                sum.requests += it.requests;
                sum.tokens += it.tokens;
                sum.waitingTokens += it.waitingTokens;
            }
        }
    }
    for (std::size_t it = 0; it < sums.size(); ++it) {
        if (m_targets[it]) {
            m_targets[it]->setRemote(sums[it]);
        }
    }
}

std::vector<PlacementTotal> PlacementTable::takeTotals()
{
    std::map<std::size_t, std::vector<PromptPart>> parts = std::exchange(m_newParts, {});
    std::vector<PlacementTotal> list;
    for (std::size_t it = 0; it < m_targets.size(); ++it) {
        const bool hasWork = m_targets[it] && m_targets[it]->own().requests > 0;
        if (hasWork || parts.contains(it)) {
            const TargetWork::Amount &own = m_targets[it]->own();
            list.push_back({m_targets[it]->candidate().id, own.requests, own.tokens, own.waitingTokens, std::move(parts[it])});
        }
    }
    return list;
}

std::set<std::string> PlacementTable::origins() const
{
    std::set<std::string> names;
    for (const auto &[key, placement] : m_placements) {
        names.insert(key.origin);
    }
    return names;
}

void PlacementTable::dropOrigin(const std::string &origin)
{
    for (auto it = m_placements.lower_bound({origin, 0}); it != m_placements.end() && it->first.origin == origin;) {
        it = remove(it);
    }
}

void PlacementTable::expire(Clock::TimePoint now)
{
    for (auto it = m_placements.begin(); it != m_placements.end();) {
        it = it->second.deadline < now ? remove(it) : std::next(it);
    }
    if (std::erase_if(m_remotes, [now](const auto &it) { return now - it.second.received > remoteLifetime; }) > 0) {
        updateRemote();
    }
}

std::size_t PlacementTable::inProgress() const
{
    return m_placements.size();
}

const PlacementTable::PartStatistics &PlacementTable::partStatistics() const
{
    return m_statistics;
}

} // namespace Guavalock
