#include "Site/EvidenceExchange.h"

#include "Fleet/FleetTable.h"
#include "Fleet/MemberRecord.h"
#include "Fleet/QuarantineTable.h"
#include "Mesh/MeshNetwork.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <utility>

namespace Guavalock
{

namespace Asio = boost::asio;

namespace
{

constexpr std::chrono::milliseconds gatherTime{50}; ///< Two hops through hubs stay far below a second.

template <class List>
void append(List &list, const List &added)
{
    list.insert(list.end(), added.begin(), added.end());
}

void append(Evidence &evidence, const Evidence &added)
{
    append(evidence.content.crashes, added.content.crashes);
    append(evidence.content.responses, added.content.responses);
    append(evidence.content.quarantines, added.content.quarantines);
    append(evidence.limits, added.limits);
}

} // namespace

EvidenceExchange::EvidenceExchange(const Asio::any_io_executor &executor, const Clock &clock, const MemberRecord &self,
                                   QuarantineTable &quarantines, FleetTable &fleet, MeshNetwork &mesh)
    : m_strand(Asio::make_strand(executor))
    , m_clock(clock)
    , m_quarantines(quarantines)
    , m_fleet(fleet)
    , m_mesh(mesh)
    , m_relayDecision(self.vm, self.incarnation)
{
}

void EvidenceExchange::setRelay(bool relay)
{
    m_relay = relay;
}

void EvidenceExchange::publish()
{
    schedule({});
}

bool EvidenceExchange::accept(const std::string &vm, const Evidence &evidence)
{
    const std::scoped_lock lock(m_mutex);
    if (!m_relayDecision.accept(evidence.origin, vm, m_clock.now())) {
        return false;
    }
    if (m_relay && !evidence.origin.empty()) {
        m_relayDecision.forward(evidence, vm);
    }
    return true;
}

void EvidenceExchange::receive(const std::string &vm, const Evidence &evidence)
{
    if (!accept(vm, evidence)) {
        return;
    }
    const Clock::TimePoint now = m_clock.now();
    Evidence news{m_quarantines.merge(evidence.content, now), m_fleet.mergeLimits(evidence.limits, now)};
    schedule(m_relay && evidence.origin.empty() ? std::move(news) : Evidence());
}

Evidence EvidenceExchange::snapshot()
{
    return EvidenceRelay::limitSnapshot({m_quarantines.snapshot(m_clock.now()), m_fleet.limitSnapshot()});
}

void EvidenceExchange::schedule(Evidence relayed)
{
    Asio::post(m_strand, [self = shared_from_this(), relayed = std::move(relayed)] {
        append(self->m_relayed, relayed);
        if (!std::exchange(self->m_scheduled, true)) {
            Asio::co_spawn(self->m_strand, self->send(), Asio::detached);
        }
    });
}

Asio::awaitable<void> EvidenceExchange::send()
{
    const auto self = shared_from_this();
    Asio::steady_timer timer(m_strand, gatherTime);
    co_await timer.async_wait(Asio::as_tuple(Asio::use_awaitable));
    m_scheduled = false;
    Evidence evidence{m_quarantines.takeNews(), m_fleet.takeLimitNews()};
    append(evidence, std::exchange(m_relayed, {}));
    std::vector<Evidence> frames;
    std::vector<EvidenceRelay::Forward> forwards;
    {
        const std::scoped_lock lock(m_mutex);
        frames = m_relayDecision.number(evidence);
        forwards = m_relayDecision.takeForwards();
    }
    for (const Evidence &it : frames) {
        m_mesh.broadcastEvidence(it, {});
    }
    for (const EvidenceRelay::Forward &it : forwards) {
        m_mesh.broadcastEvidence(it.evidence, it.knownBy);
    }
}

} // namespace Guavalock
