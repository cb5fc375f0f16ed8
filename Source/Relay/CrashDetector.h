#pragma once

#include "Decisions/CrashReport.h"
#include "Kernel/Clock.h"
#include "Kernel/RankedMutex.h"
#include "Settings/Endpoint.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace Guavalock
{

/// Finds out whether a target that closed a connection without a response has crashed: then it refuses connections. Lock rank: Connections.
///
/// Owned by a shared_ptr.
class CrashDetector : public std::enable_shared_from_this<CrashDetector>
{
public:
    using Handler = std::function<void(const CrashReport &)>;

    /// `onCrash` is called without a lock.
    CrashDetector(boost::asio::any_io_executor executor, const Clock &clock, Handler onCrash);

    /// A target closed the connection of a request before its response had begun. `startTime` identifies the
    /// target's incarnation, and `contents` are the hashes of the request's content.
    void reportLoss(const Endpoint &address, std::chrono::milliseconds startTime, const std::vector<std::uint64_t> &contents);

private:
    boost::asio::awaitable<void> check(Endpoint address);
    boost::asio::awaitable<bool> refusesConnections(const Endpoint &address);
    CrashReport takeLosses(const Endpoint &address);

    boost::asio::any_io_executor m_executor;
    const Clock &m_clock;
    Handler m_onCrash;
    RankedMutex m_mutex{LockRank::Connections};
    std::map<Endpoint, CrashReport> m_losses; ///< Of targets that are being checked.
};

} // namespace Guavalock
