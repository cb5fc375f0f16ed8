#pragma once

#include "Batching/Piece.h"
#include "Fleet/StageNode.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace Guavalock
{

/// How far the stages of one request are: which pieces to ask for next, and the handles that are there.
class StagePlan
{
public:
    using ExpectedTime = std::function<Clock::Duration(const std::string &service)>; ///< Of one stage at a service.
    using Handles = std::map<std::string, std::vector<std::string>>; ///< By service.

    /// Stages with a count of zero are left out, and so are stages for which no count is given.
    StagePlan(const std::vector<StageNode> &stages, const std::vector<std::size_t> &counts, std::string requestId, std::string key);

    /// Sets the data centre in which the request will probably be answered, so that results are made near it.
    void setDestination(std::string dataCentre);

    /// Returns the pieces that are due and have not been asked for. Numbers, rank and times are left to the caller.
    ///
    /// A stage beside a longer chain of stages is due when that chain needs no longer than it, so that its results do not lie about.
    std::vector<Piece> takeReady(const ExpectedTime &expected);

    void made(std::size_t stage, std::size_t fragment, std::string handle, const std::string &dataCentre);

    /// The piece's target has read its inputs.
    void taken(std::size_t stage, std::size_t fragment);

    /// The piece is to be asked for again.
    void lost(std::size_t stage, std::size_t fragment);

    /// An input of the piece no longer exists: it and everything it depends on is to be made again. Returns dropped handles.
    Handles inputsGone(std::size_t stage, std::size_t fragment);

    /// The results are gone altogether and all is to be made again. Returns dropped handles.
    Handles restart();

    /// Returns the handles of results that every taker has read, and counts them as freed.
    Handles takeUsed();

    bool complete() const;

    /// Returns whether any result has been made.
    bool started() const;

    /// Returns the services of the longest chain of stages that still follows a stage.
    std::vector<std::string> servicesAfter(std::size_t stage) const;

    /// Returns the handles of the stages that no other stage takes.
    std::vector<std::string> finalHandles() const;

    /// Returns every handle that has not been freed, by the service that made it.
    Handles allHandles() const;

    /// Returns the data centre that holds most bytes of the final results, or nothing when there are none.
    std::string finalDataCentre() const;

    /// Returns the approximate size of the final results.
    std::uint64_t finalBytes() const;

private:
    struct Fragment {
        bool asked = false;
        std::string handle; ///< Empty until made, and after it was freed.
        bool taken = false; ///< Its target has read its inputs.
        bool made = false;
        std::string dataCentre;
    };

    struct Stage {
        StageNode node;
        std::vector<Fragment> fragments;
        bool takenByOther = false;
    };

    bool done(const Stage &stage) const;
    bool ready(const Stage &stage) const;

    /// Returns the time that a stage and the longest chain after it need.
    Clock::Duration chainTime(std::size_t stage, const ExpectedTime &expected) const;

    /// Returns the time until all stages are made.
    Clock::Duration remainingTime(const ExpectedTime &expected) const;
    void reset(std::size_t stage, Handles &dropped);
    bool used(std::size_t stage) const;
    /// Returns how often a result of a stage is read: by every piece of the stages that take it, or once by the model engine.
    std::size_t readers(std::size_t stage) const;

    Piece piece(std::size_t stage, std::size_t fragment) const;

    /// Returns the stages that no other stage takes.
    std::vector<std::size_t> finalStages() const;

    /// Returns the data centre that holds most bytes among the results of some stages.
    std::string heaviest(const std::vector<std::size_t> &stages, std::uint64_t &bytes) const;

    std::vector<Stage> m_stages;
    std::string m_requestId;
    std::string m_key;
    std::string m_destination;
};

} // namespace Guavalock
