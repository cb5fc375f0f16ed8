#include "Batching/PieceWait.h"

#include "Flow/CancelScope.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace Guavalock
{

namespace Asio = boost::asio;

PieceWait::PieceWait(Cancellation &cancellation, Discard discard)
    : m_cancellation(cancellation)
    , m_discard(std::move(discard))
    , m_strand(cancellation.strand())
    , m_timer(m_strand)
{
}

void PieceWait::deliver(const std::string &owner, std::vector<PieceResult> results)
{
    Asio::post(m_strand, [self = shared_from_this(), owner, results = std::move(results)]() mutable {
        std::vector<std::string> unwanted;
        for (PieceResult &it : results) {
            const auto asked = self->m_asked.find(it.number);
            if (asked == self->m_asked.end()) {
                if (!it.handle.empty()) {
                    unwanted.push_back(std::move(it.handle));
                }
                continue;
            }
            const bool last = it.end != PieceResult::End::Taken;
            self->m_results.push_back({asked->second.piece, std::move(it), asked->second.sent});
            if (last) {
                self->m_asked.erase(asked);
            }
        }
        self->m_timer.cancel();
        if (!unwanted.empty()) {
            self->m_discard(owner, std::move(unwanted));
        }
    });
}

Asio::awaitable<std::vector<PieceWait::Arrived>> PieceWait::next(Clock::TimePoint until)
{
    if (m_results.empty() && !m_cancellation.cause()) {
        m_timer.expires_at(until);
        const CancelScope scope(m_cancellation, [this] { m_timer.cancel(); });
        co_await m_timer.async_wait(Asio::as_tuple(Asio::use_awaitable));
    }
    co_return takeArrived();
}

std::vector<PieceWait::Arrived> PieceWait::takeArrived()
{
    return std::exchange(m_results, {});
}

std::map<std::uint64_t, PieceWait::Asked> &PieceWait::asked()
{
    return m_asked;
}

} // namespace Guavalock
