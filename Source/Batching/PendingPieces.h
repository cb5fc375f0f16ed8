#pragma once

#include "Batching/Piece.h"
#include "Batching/PieceResult.h"
#include "Flow/Cancellation.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace Guavalock
{

/// Tracks the outstanding pieces of one request. All members except deliver() must be called on the request's strand.
class PendingPieces : public std::enable_shared_from_this<PendingPieces>
{
public:
    struct Submission {
        Piece piece;
        std::string owner; ///< Vm name of the daemon that batches the piece.
        Clock::TimePoint lastSent;
        std::set<std::string> formerOwners; ///< Daemons that were sent the piece before and may still have it.
    };

    struct Delivery {
        Piece piece;
        PieceResult result;
        Clock::TimePoint lastSent; ///< When the piece was last sent to an owner.
    };

    /// Called with the handles of results that arrived after their request ended, and the daemon that delivered them.
    using LateResultHandler = std::function<void(const std::string &owner, std::vector<std::string> handles)>;

    PendingPieces(Cancellation &cancellation, LateResultHandler lateResults);

    /// Delivers results from an owner. Thread-safe.
    void deliver(const std::string &owner, std::vector<PieceResult> results);

    /// Waits for results until the given time or until the request is cancelled. Each piece yields one final result, which an InputsRead
    /// notice may precede.
    boost::asio::awaitable<std::vector<Delivery>> next(Clock::TimePoint until);

    /// Removes and returns the results that have not been consumed yet.
    std::vector<Delivery> takeDelivered();

    std::map<std::uint64_t, Submission> &submissions();

private:
    Cancellation &m_cancellation;
    LateResultHandler m_lateResults;
    boost::asio::any_io_executor m_strand;
    boost::asio::steady_timer m_timer;
    std::map<std::uint64_t, Submission> m_submissions;
    std::vector<Delivery> m_delivered;
};

} // namespace Guavalock
