#include "Relay/CrashDetector.h"

#include "Flow/DeadlineTimer.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
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

void CrashDetector::reportLoss(const Endpoint &address, std::chrono::milliseconds startTime, const std::vector<std::uint64_t> &contents)
{
    {
        const std::scoped_lock lock(m_mutex);
        const auto [it, isNew] = m_losses.try_emplace(address, CrashReport{address.text(), m_clock.now(), {}, startTime});
        it->second.contents.insert(it->second.contents.end(), contents.begin(), contents.end());
        if (!isNew) {
            return;
        }
    }
    Asio::co_spawn(Asio::make_strand(m_executor), check(address), Asio::detached);
}

CrashReport CrashDetector::takeLosses(const Endpoint &address)
{
    const std::scoped_lock lock(m_mutex);
    CrashReport report = std::move(m_losses.extract(address).mapped());
    std::ranges::sort(report.contents);
    report.contents.erase(std::unique(report.contents.begin(), report.contents.end()), report.contents.end());
    return report;
}

Asio::awaitable<bool> CrashDetector::refusesConnections(const Endpoint &address)
{
    boost::system::error_code ec;
    const Asio::ip::address ip = Asio::ip::make_address(address.address, ec);
    if (ec) {
        co_return false;
    }
    const auto executor = co_await Asio::this_coro::executor;
    Asio::ip::tcp::socket socket(executor);
    const DeadlineTimer timer(executor, m_clock.now() + connectTimeout, [&] { socket.close(); });
    const auto [connectError] = co_await socket.async_connect({ip, address.port}, Asio::as_tuple(Asio::use_awaitable));
    co_return connectError == Asio::error::connection_refused;
}

Asio::awaitable<void> CrashDetector::check(Endpoint address)
{
    const auto self = shared_from_this();
    Asio::steady_timer timer(co_await Asio::this_coro::executor, collectTime);
    co_await timer.async_wait(Asio::as_tuple(Asio::use_awaitable));
    const bool crashed = co_await refusesConnections(address);
    const CrashReport report = takeLosses(address);
    if (crashed) {
        m_onCrash(report);
    }
}

} // namespace Guavalock
