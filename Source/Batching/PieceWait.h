#pragma once

#include "Batching/Piece.h"
#include "Batching/PieceResult.h"
#include "Flow/Cancellation.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Guavalock
{

/// The pieces that one request has asked for and not yet got. Used on the request's strand, but for deliver.
class PieceWait : public std::enable_shared_from_this<PieceWait>
{
public:
    struct Asked {
        Piece piece;
        std::string owner; ///< The daemon that batches it.
        Clock::TimePoint sent;
    };

    struct Arrived {
        Piece piece;
        PieceResult result;
        Clock::TimePoint sent; ///< When the piece was asked for.
    };

    /// Takes the handles of results that came after their request had ended, with the daemon that had them made.
    using Discard = std::function<void(const std::string &owner, std::vector<std::string> handles)>;

    PieceWait(Cancellation &cancellation, Discard discard);

    /// Hands over results that a daemon had made. Callable from any thread.
    void deliver(const std::string &owner, std::vector<PieceResult> results);

    /// Waits for results until a time, or until the request is cancelled. Each asked piece gives one result, and may be told as taken
    /// before.
    boost::asio::awaitable<std::vector<Arrived>> next(Clock::TimePoint until);

    /// Returns the results that nobody has waited for yet.
    std::vector<Arrived> takeArrived();

    std::map<std::uint64_t, Asked> &asked();

private:
    Cancellation &m_cancellation;
    Discard m_discard;
    boost::asio::any_io_executor m_strand;
    boost::asio::steady_timer m_timer;
    std::map<std::uint64_t, Asked> m_asked;
    std::vector<Arrived> m_results;
};

} // namespace Guavalock
