#pragma once

#include "Batching/Piece.h"
#include "Fleet/StageNode.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace Guavalock
{

/// Tracks the progress of one request through its stage graph: the pieces to submit next and the handles of available results.
class StagePlan
{
public:
    using ExpectedTime = std::function<Clock::Duration(const std::string &service)>; ///< Expected duration of a stage on a service.
    using Handles = std::map<std::string, std::vector<std::string>>; ///< By service.

    /// Stages are skipped when their piece count is zero or missing.
    StagePlan(const std::vector<StageNode> &stages, const std::vector<std::size_t> &counts, std::string requestId, std::string key);

    /// Sets the data centre that will probably answer the request, so that results are produced close to it.
    void setDestination(std::string dataCentre);

    /// Returns the pieces that are due and have not been submitted. The caller sets their number, rank and times.
    ///
    /// A stage parallel to a longer chain becomes due only when the remaining chain takes no longer than the stage itself. This keeps
    /// its results from occupying storage early.
    std::vector<Piece> takeReady(const ExpectedTime &expected);

    void markCompleted(std::size_t stage, std::size_t pieceIndex, std::string handle, const std::string &dataCentre);

    /// Records that the piece's target has read its inputs.
    void markInputsRead(std::size_t stage, std::size_t pieceIndex);

    /// Resets a piece, so that it is submitted again.
    void resetPiece(std::size_t stage, std::size_t pieceIndex);

    /// Resets a piece whose input no longer exists, and all results that it depends on, for recomputation. Returns dropped handles.
    Handles invalidateInputs(std::size_t stage, std::size_t pieceIndex);

    /// Resets all stages for recomputation after their results were lost. Returns dropped handles.
    Handles restart();

    /// Returns the handles of results that all consumers have read, and marks them as freed.
    Handles takeConsumed();

    bool complete() const;

    /// Returns the services of the longest chain of stages that depends on a stage.
    std::vector<std::string> servicesAfter(std::size_t stage) const;

    /// Returns the result handles of the stages that no other stage reads.
    std::vector<std::string> finalHandles() const;

    /// Returns all handles that have not been freed, by the service that produced them.
    Handles allHandles() const;

    /// Returns the data centre that stores the most bytes of the final results, or an empty string when there are none.
    std::string finalDataCentre() const;

    /// Returns the approximate size of the final results.
    std::uint64_t finalBytes() const;

private:
    struct PieceState {
        bool submitted = false;
        std::string handle; ///< Empty until the piece is completed, and after the result was freed.
        bool inputsRead = false; ///< The target has read the inputs.
        bool completed = false;
        std::string dataCentre;
    };

    struct Stage {
        StageNode node;
        std::vector<PieceState> pieces;
        bool hasConsumers = false;
    };

    bool done(const Stage &stage) const;
    bool ready(const Stage &stage) const;

    /// Returns the expected duration of a stage and the longest chain that depends on it.
    Clock::Duration chainTime(std::size_t stage, const ExpectedTime &expected) const;

    /// Returns the expected time until all stages are complete.
    Clock::Duration remainingTime(const ExpectedTime &expected) const;
    void reset(std::size_t stage, Handles &dropped);
    bool consumed(std::size_t stage) const;

    /// Returns how often each result of a stage is read: once by every piece of the dependent stages, or once by the model engine.
    std::size_t readerCount(std::size_t stage) const;

    Piece piece(std::size_t stage, std::size_t pieceIndex) const;

    /// Returns the stages that no other stage reads.
    std::vector<std::size_t> finalStages() const;

    /// Returns the data centre that stores the most result bytes of the given stages. Adds their total size to `bytes`.
    std::string largestDataCentre(const std::vector<std::size_t> &stages, std::uint64_t &bytes) const;

    std::vector<Stage> m_stages;
    std::string m_requestId;
    std::string m_key;
    std::string m_destination;
};

} // namespace Guavalock
