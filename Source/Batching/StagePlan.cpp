#include "Batching/StagePlan.h"

#include <algorithm>
#include <map>
#include <utility>

namespace Guavalock
{

namespace
{

/// A stage parallel to a longer chain may finish this much earlier than needed: half a call.
constexpr std::chrono::milliseconds earlyFinishTolerance{150};

} // namespace

StagePlan::StagePlan(const std::vector<StageNode> &stages, const std::vector<std::size_t> &counts, std::string requestId, std::string key)
    : m_requestId(std::move(requestId))
    , m_key(std::move(key))
{
    for (std::size_t it = 0; it < stages.size(); ++it) {
        const std::size_t count = it < counts.size() ? counts[it] : 0;
        m_stages.push_back({stages[it], std::vector<PieceState>(count), false});
    }
    for (const Stage &it : m_stages) {
        for (const std::size_t dependency : it.node.dependencies) {
            if (!it.pieces.empty()) {
                m_stages.at(dependency).hasConsumers = true;
            }
        }
    }
}

void StagePlan::setDestination(std::string dataCentre)
{
    m_destination = std::move(dataCentre);
}

bool StagePlan::done(const Stage &stage) const
{
    return std::ranges::all_of(stage.pieces, [](const PieceState &it) { return it.completed; });
}

bool StagePlan::ready(const Stage &stage) const
{
    return std::ranges::all_of(stage.node.dependencies, [this](std::size_t dependency) { return done(m_stages[dependency]); });
}

std::string StagePlan::largestDataCentre(const std::vector<std::size_t> &stages, std::uint64_t &bytes) const
{
    std::map<std::string, std::uint64_t> bytesByDataCentre;
    for (const std::size_t stage : stages) {
        for (const PieceState &it : m_stages[stage].pieces) {
            bytesByDataCentre[it.dataCentre] += m_stages[stage].node.resultBytes;
            bytes += m_stages[stage].node.resultBytes;
        }
    }
    const auto it = std::ranges::max_element(bytesByDataCentre, {}, [](const auto &entry) { return entry.second; });
    return it == bytesByDataCentre.end() ? std::string() : it->first;
}

std::size_t StagePlan::readerCount(std::size_t stage) const
{
    std::size_t n = 0;
    for (const Stage &it : m_stages) {
        if (std::ranges::find(it.node.dependencies, stage) != it.node.dependencies.end()) {
            n += it.pieces.size();
        }
    }
    return std::max<std::size_t>(n, 1);
}

Piece StagePlan::piece(std::size_t stage, std::size_t pieceIndex) const
{
    Piece piece;
    const StageNode &node = m_stages[stage].node;
    piece.requestId = m_requestId;
    piece.stage = stage;
    piece.index = pieceIndex;
    piece.service = node.service;
    piece.resultBytes = node.resultBytes;
    for (const std::size_t dependency : node.dependencies) {
        for (const PieceState &it : m_stages[dependency].pieces) {
            piece.inputs.push_back(it.handle);
        }
    }
    if (piece.inputs.empty()) {
        piece.key = m_key;
    }
    piece.nearDataCentre = largestDataCentre(node.dependencies, piece.nearBytes);
    const std::uint64_t readBytes = node.resultBytes * readerCount(stage);
    if (piece.nearBytes < readBytes) {
        piece.nearDataCentre = m_destination;
        piece.nearBytes = readBytes;
    }
    return piece;
}

Clock::Duration StagePlan::chainTime(std::size_t stage, const ExpectedTime &expected) const
{
    Clock::Duration time = expected(m_stages[stage].node.service);
    for (const std::string &it : servicesAfter(stage)) {
        time += expected(it);
    }
    return time;
}

Clock::Duration StagePlan::remainingTime(const ExpectedTime &expected) const
{
    Clock::Duration time{};
    for (std::size_t it = 0; it < m_stages.size(); ++it) {
        if (done(m_stages[it])) {
            continue;
        }
        // On average, half the time of a stage in progress has elapsed.
        const bool inProgress = std::ranges::any_of(m_stages[it].pieces, &PieceState::submitted);
        const Clock::Duration elapsed = inProgress ? expected(m_stages[it].node.service) / 2 : Clock::Duration::zero();
        time = std::max(time, chainTime(it, expected) - elapsed);
    }
    return time;
}

std::vector<Piece> StagePlan::takeReady(const ExpectedTime &expected)
{
    std::vector<Piece> pieces;
    const Clock::Duration remaining = remainingTime(expected);
    for (std::size_t stage = 0; stage < m_stages.size(); ++stage) {
        if (!ready(m_stages[stage]) || chainTime(stage, expected) + earlyFinishTolerance < remaining) {
            continue;
        }
        std::vector<PieceState> &states = m_stages[stage].pieces;
        for (std::size_t it = 0; it < states.size(); ++it) {
            if (!states[it].submitted) {
                states[it].submitted = true;
                pieces.push_back(piece(stage, it));
            }
        }
    }
    return pieces;
}

void StagePlan::markCompleted(std::size_t stage, std::size_t pieceIndex, std::string handle, const std::string &dataCentre)
{
    PieceState &it = m_stages.at(stage).pieces.at(pieceIndex);
    it.handle = std::move(handle);
    it.completed = true;
    it.inputsRead = true;
    it.dataCentre = dataCentre;
}

void StagePlan::markInputsRead(std::size_t stage, std::size_t pieceIndex)
{
    m_stages.at(stage).pieces.at(pieceIndex).inputsRead = true;
}

void StagePlan::resetPiece(std::size_t stage, std::size_t pieceIndex)
{
    m_stages.at(stage).pieces.at(pieceIndex) = {};
}

void StagePlan::reset(std::size_t stage, Handles &dropped)
{
    Stage &it = m_stages[stage];
    for (PieceState &state : it.pieces) {
        if (!state.handle.empty()) {
            dropped[it.node.service].push_back(state.handle);
        }
        if (state.completed) {
            state = {};
        }
    }
    for (const std::size_t dependency : it.node.dependencies) {
        reset(dependency, dropped);
    }
}

StagePlan::Handles StagePlan::invalidateInputs(std::size_t stage, std::size_t pieceIndex)
{
    Handles dropped;
    for (const std::size_t dependency : m_stages.at(stage).node.dependencies) {
        reset(dependency, dropped);
    }
    resetPiece(stage, pieceIndex);
    return dropped;
}

StagePlan::Handles StagePlan::restart()
{
    Handles dropped = allHandles();
    for (Stage &it : m_stages) {
        it.pieces.assign(it.pieces.size(), {});
    }
    return dropped;
}

bool StagePlan::consumed(std::size_t stage) const
{
    bool hasConsumer = false;
    for (const Stage &it : m_stages) {
        const bool consumes = !it.pieces.empty() && std::ranges::find(it.node.dependencies, stage) != it.node.dependencies.end();
        if (consumes && !std::ranges::all_of(it.pieces, &PieceState::inputsRead)) {
            return false;
        }
        hasConsumer = hasConsumer || consumes;
    }
    return hasConsumer;
}

StagePlan::Handles StagePlan::takeConsumed()
{
    Handles handles;
    for (std::size_t stage = 0; stage < m_stages.size(); ++stage) {
        if (!consumed(stage)) {
            continue;
        }
        for (PieceState &it : m_stages[stage].pieces) {
            if (!it.handle.empty()) {
                handles[m_stages[stage].node.service].push_back(std::exchange(it.handle, {}));
            }
        }
    }
    return handles;
}

bool StagePlan::complete() const
{
    return std::ranges::all_of(m_stages, [this](const Stage &it) { return done(it); });
}

std::vector<std::string> StagePlan::servicesAfter(std::size_t stage) const
{
    std::vector<std::string> longest;
    for (std::size_t it = 0; it < m_stages.size(); ++it) {
        const StageNode &node = m_stages[it].node;
        if (m_stages[it].pieces.empty() || std::ranges::find(node.dependencies, stage) == node.dependencies.end()) {
            continue;
        }
        std::vector<std::string> chain = servicesAfter(it);
        chain.push_back(node.service);
        if (chain.size() > longest.size()) {
            longest = std::move(chain);
        }
    }
    return longest;
}

std::vector<std::string> StagePlan::finalHandles() const
{
    std::vector<std::string> handles;
    for (const Stage &stage : m_stages) {
        for (const PieceState &it : stage.pieces) {
            if (!stage.hasConsumers) {
                handles.push_back(it.handle);
            }
        }
    }
    return handles;
}

StagePlan::Handles StagePlan::allHandles() const
{
    Handles handles;
    for (const Stage &stage : m_stages) {
        for (const PieceState &it : stage.pieces) {
            if (!it.handle.empty()) {
                handles[stage.node.service].push_back(it.handle);
            }
        }
    }
    return handles;
}

std::vector<std::size_t> StagePlan::finalStages() const
{
    std::vector<std::size_t> stages;
    for (std::size_t it = 0; it < m_stages.size(); ++it) {
        if (!m_stages[it].hasConsumers) {
            stages.push_back(it);
        }
    }
    return stages;
}

std::string StagePlan::finalDataCentre() const
{
    std::uint64_t bytes = 0;
    return largestDataCentre(finalStages(), bytes);
}

std::uint64_t StagePlan::finalBytes() const
{
    std::uint64_t bytes = 0;
    largestDataCentre(finalStages(), bytes);
    return bytes;
}

} // namespace Guavalock
