#include "Relay/CrashDetector.h"

#include "Flow/DeadlineTimer.h"
#include "Net/Connection.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace Guavalock
{

namespace Asio = boost::asio;

namespace
{

/// Far above a round trip. A machine that does not answer at all is cut off, which is no crash.
constexpr std::chrono::milliseconds connectTimeout{250};
constexpr std::chrono::milliseconds collectTime{20}; ///< In which the other requests of the target lose their connections.

} // namespace

CrashDetector::CrashDetector(Asio::any_io_executor executor, const Clock &clock, Handler onCrash)
    : m_executor(std::move(executor))
    , m_clock(clock)
    , m_onCrash(std::move(onCrash))
{
}

void CrashDetector::reportLoss(const std::string &target, const Endpoint &address, const std::vector<std::uint64_t> &contents)
{
    {
        const std::scoped_lock lock(m_mutex);
        const auto [it, isNew] = m_losses.try_emplace(target, CrashReport{target, m_clock.now(), {}});
        it->second.contents.insert(it->second.contents.end(), contents.begin(), contents.end());
        if (!isNew) {
            return;
        }
    }
    Asio::co_spawn(Asio::make_strand(m_executor), check(target, address), Asio::detached);
}

CrashReport CrashDetector::takeLosses(const std::string &target)
{
    const std::scoped_lock lock(m_mutex);
    CrashReport report = std::move(m_losses.extract(target).mapped());
    std::ranges::sort(report.contents);
    const auto duplicates = std::ranges::unique(report.contents);
    report.contents.erase(duplicates.begin(), duplicates.end());
    return report;
}

Asio::awaitable<bool> CrashDetector::refusesConnections(const Endpoint &address)
{
    const auto executor = co_await Asio::this_coro::executor;
    Connection connection(executor, address);
    bool timedOut = false;
    const DeadlineTimer timer(executor, m_clock.now() + connectTimeout, [&] {
        timedOut = true;
        connection.close();
    });
    const bool connected = co_await connection.connect();
    co_return !connected && !timedOut;
}

Asio::awaitable<void> CrashDetector::check(std::string target, Endpoint address)
{
    const auto self = shared_from_this();
    Asio::steady_timer timer(co_await Asio::this_coro::executor, collectTime);
    co_await timer.async_wait(Asio::as_tuple(Asio::use_awaitable));
    const bool crashed = co_await refusesConnections(address);
    const CrashReport report = takeLosses(target);
    if (crashed) {
        m_onCrash(report);
    }
}

} // namespace Guavalock
