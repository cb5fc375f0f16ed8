#include "Batching/PendingPieces.h"

#include "Flow/CancelScope.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace Guavalock
{

namespace Asio = boost::asio;

PendingPieces::PendingPieces(Cancellation &cancellation, LateResultHandler lateResults)
    : m_cancellation(cancellation)
    , m_lateResults(std::move(lateResults))
    , m_strand(cancellation.strand())
    , m_timer(m_strand)
{
}

void PendingPieces::deliver(const std::string &owner, std::vector<PieceResult> results)
{
    Asio::post(m_strand, [self = shared_from_this(), owner, results = std::move(results)]() mutable {
        std::vector<std::string> unwanted;
        for (PieceResult &it : results) {
            const auto submission = self->m_submissions.find(it.number);
            if (submission == self->m_submissions.end()) {
                if (!it.handle.empty()) {
                    unwanted.push_back(std::move(it.handle));
                }
                continue;
            }
            const bool isFinal = it.outcome != PieceResult::Outcome::InputsRead;
            self->m_delivered.push_back({submission->second.piece, std::move(it), submission->second.lastSent});
            if (isFinal) {
                self->m_submissions.erase(submission);
            }
        }
        self->m_timer.cancel();
        if (!unwanted.empty()) {
            self->m_lateResults(owner, std::move(unwanted));
        }
    });
}

Asio::awaitable<std::vector<PendingPieces::Delivery>> PendingPieces::next(Clock::TimePoint until)
{
    if (m_delivered.empty() && !m_cancellation.cause()) {
        m_timer.expires_at(until);
        const CancelScope scope(m_cancellation, [this] { m_timer.cancel(); });
        co_await m_timer.async_wait(Asio::as_tuple(Asio::use_awaitable));
    }
    co_return takeDelivered();
}

std::vector<PendingPieces::Delivery> PendingPieces::takeDelivered()
{
    return std::exchange(m_delivered, {});
}

std::map<std::uint64_t, PendingPieces::Submission> &PendingPieces::submissions()
{
    return m_submissions;
}

} // namespace Guavalock
