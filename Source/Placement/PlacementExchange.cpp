#include "Placement/PlacementExchange.h"

#include "Decisions/Hash.h"
#include "Fleet/Catalogue.h"
#include "Fleet/CatalogueTable.h"
#include "Fleet/FleetMembership.h"
#include "Fleet/LinkPlan.h"
#include "Kernel/Counter.h"
#include "Kernel/Distribution.h"
#include "Kernel/Log.h"
#include "Kernel/Metrics.h"
#include "Placement/PlacementTransport.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

namespace Guavalock
{

namespace Asio = boost::asio;

namespace
{

using Source = PlacementResult::Source;

constexpr std::chrono::milliseconds reportInterval{20}; ///< Short against the time in which a target processes a prompt.
constexpr std::chrono::milliseconds totalsInterval{200}; ///< About the time from a placement to its first token.

} // namespace

PlacementExchange::Waiting::Waiting(const Asio::any_io_executor &executor)
    : strand(executor)
    , timer(executor)
{
}

PlacementExchange::PlacementExchange(const Asio::any_io_executor &executor, const Dependencies &dependencies)
    : m_strand(Asio::make_strand(executor))
    , m_dependencies(dependencies)
    , m_self(dependencies.membership.self().vm)
    , m_dataCentre(dependencies.membership.self().dataCentre)
    , m_owner(dependencies.clock, dependencies.catalogue, dependencies.fleet, dependencies.metrics)
    , m_lastNumber(Hash::of(dependencies.membership.self().incarnation)) // Answers to an earlier incarnation match no query of this one.
{
}

PlacementExchange::~PlacementExchange() = default;

void PlacementExchange::start()
{
    Asio::co_spawn(m_strand, maintain(), Asio::detached);
}

void PlacementExchange::stop()
{
    m_stopped = true;
}

void PlacementExchange::setMemberCount(std::size_t count)
{
    m_active = count > LinkPlan::fullMeshSize;
}

bool PlacementExchange::isActive() const
{
    return m_active;
}

std::vector<std::string> PlacementExchange::services() const
{
    const std::shared_ptr<const Catalogue> catalogue = m_dependencies.catalogue.current();
    return m_active && catalogue ? catalogue->modelServices() : std::vector<std::string>();
}

std::string PlacementExchange::ownerOf(const std::string &service, const std::string &dataCentre, Clock::TimePoint now) const
{
    return m_dependencies.membership.ownerIn(dataCentre, "place " + service + ' ' + dataCentre, now);
}

std::string PlacementExchange::currentOwner(const std::string &service)
{
    const Clock::TimePoint now = m_dependencies.clock.now();
    std::string owner = ownerOf(service, m_dataCentre, now);
    std::string previous;
    {
        const std::scoped_lock lock(m_mutex);
        std::string &known = m_owners[service];
        if (known == owner) {
            return owner;
        }
        previous = std::exchange(known, owner);
        const std::vector<PlacementReport> inProgress = m_ledger.reports(service, now);
        m_reports.insert(m_reports.end(), inProgress.begin(), inProgress.end());
    }
    scheduleReports();
    Log::info("placement", "owner", {{"service", service}, {"owner", owner}, {"previous", previous}});
    return owner;
}

Asio::awaitable<PlacementResult> PlacementExchange::place(PlacementQuery query, std::chrono::milliseconds maxWait,
                                                          Asio::any_io_executor strand)
{
    if (!m_active) {
        co_return PlacementResult();
    }
    const std::string service = query.service;
    const std::string owner = currentOwner(service);
    query.number = ++m_lastNumber;
    PlacementResult result{Source::NoOwner, query.number, {}};
    if (owner == m_self) {
        result.target = m_owner.place(m_self, {query}).front().target;
        result.source = result.target.empty() ? Source::NoTarget : Source::Placed;
    } else if (!owner.empty() && m_dependencies.membership.reachable(owner, m_dependencies.clock.now())) {
        result = co_await ask(owner, std::move(query), maxWait, std::move(strand));
    }
    recordSource(result, service);
    co_return result;
}

Asio::awaitable<PlacementResult> PlacementExchange::ask(const std::string &owner, PlacementQuery query, std::chrono::milliseconds maxWait,
                                                        Asio::any_io_executor strand)
{
    const auto self = shared_from_this();
    const Clock::TimePoint start = m_dependencies.clock.now();
    const std::uint64_t number = query.number;
    const auto waiting = std::make_shared<Waiting>(strand);
    {
        const std::scoped_lock lock(m_mutex);
        if (!m_silences[owner].mayAsk(start)) {
            co_return PlacementResult{Source::Silent, number, {}};
        }
        m_waiting[number] = waiting;
        std::vector<PlacementQuery> &queries = m_queries[owner];
        queries.push_back(std::move(query));
        if (queries.size() == 1) {
            Asio::post(m_strand, [self] { self->sendQueries(); });
        }
    }
    waiting->timer.expires_after(maxWait);
    co_await waiting->timer.async_wait(Asio::as_tuple(Asio::use_awaitable));
    {
        const std::scoped_lock lock(m_mutex);
        m_waiting.erase(number);
        if (waiting->source == Source::Timeout) {
            m_silences[owner].recordTimeout();
        }
    }
    if (waiting->source == Source::Placed || waiting->source == Source::NoTarget) {
        m_dependencies.metrics.distribution("placement_seconds").observe(m_dependencies.clock.now() - start);
    }
    co_return PlacementResult{waiting->source, number, waiting->target};
}

void PlacementExchange::sendQueries()
{
    std::map<std::string, std::vector<PlacementQuery>> queries;
    {
        const std::scoped_lock lock(m_mutex);
        queries = std::exchange(m_queries, {});
    }
    for (const auto &[owner, list] : queries) {
        if (m_dependencies.transport.sendPlacementQueries(owner, list)) {
            continue;
        }
        for (const PlacementQuery &it : list) {
            resolve({it.number, {}}, Source::NoOwner);
        }
    }
}

void PlacementExchange::resolve(const PlacementAnswer &answer, Source source)
{
    std::shared_ptr<Waiting> waiting;
    {
        const std::scoped_lock lock(m_mutex);
        const auto it = m_waiting.find(answer.number);
        if (it == m_waiting.end()) {
            return; // The daemon has selected a target itself.
        }
        waiting = std::move(it->second);
        m_waiting.erase(it);
    }
    Asio::post(waiting->strand, [waiting, answer, source] {
        waiting->source = source;
        waiting->target = answer.target;
        waiting->timer.cancel();
    });
}

void PlacementExchange::receiveAnswers(const std::string &vm, const std::vector<PlacementAnswer> &answers)
{
    {
        const std::scoped_lock lock(m_mutex);
        m_silences[vm].recordAnswer();
    }
    for (const PlacementAnswer &it : answers) {
        resolve(it, it.target.empty() ? Source::NoTarget : Source::Placed);
    }
}

void PlacementExchange::recordPlaced(const PlacementResult &result, PlacementQuery query, const std::string &target)
{
    query.number = result.number;
    const std::string service = query.service;
    const Clock::TimePoint now = m_dependencies.clock.now();
    const bool isRejected = result.source == Source::Placed && result.target != target;
    {
        const std::scoped_lock lock(m_mutex);
        if (result.source != Source::Placed || isRejected) {
            m_reports.push_back({PlacementReport::Event::Placed, query, target, false, {}, {}});
        }
        m_ledger.place(std::move(query), target, now);
    }
    if (isRejected) {
        recordSource({Source::Rejected, result.number, target}, service);
    }
    scheduleReports();
}

void PlacementExchange::report(PlacementReport report)
{
    {
        const std::scoped_lock lock(m_mutex);
        if (report.event == PlacementReport::Event::Started) {
            m_ledger.start(report.query.number);
        } else {
            m_ledger.end(report.query.number);
        }
        m_reports.push_back(std::move(report));
    }
    scheduleReports();
}

void PlacementExchange::scheduleReports()
{
    const std::scoped_lock lock(m_mutex);
    if (m_stopped || m_reports.empty() || std::exchange(m_reportsScheduled, true)) {
        return;
    }
    const auto timer = std::make_shared<Asio::steady_timer>(m_strand, reportInterval);
    timer->async_wait([self = shared_from_this(), timer](const boost::system::error_code &) { self->sendReports(); });
}

void PlacementExchange::sendReports()
{
    std::vector<PlacementReport> reports;
    {
        const std::scoped_lock lock(m_mutex);
        m_reportsScheduled = false;
        reports = std::exchange(m_reports, {});
    }
    const Clock::TimePoint now = m_dependencies.clock.now();
    std::map<std::string, std::vector<PlacementReport>> byOwner;
    for (PlacementReport &it : reports) {
        byOwner[ownerOf(it.query.service, m_dataCentre, now)].push_back(std::move(it));
    }
    for (const auto &[owner, list] : byOwner) {
        if (owner == m_self) {
            m_owner.apply(m_self, list);
        } else if (!owner.empty()) {
            // Reports that can't be sent are dropped: greet() tells the owner of the requests in progress when it is linked.
            m_dependencies.transport.sendPlacementReports(owner, list);
        }
    }
}

std::set<std::string> PlacementExchange::partners(Clock::TimePoint now) const
{
    std::set<std::string> names;
    for (const std::string &service : services()) {
        const std::string own = ownerOf(service, m_dataCentre, now);
        names.insert(own);
        if (own == m_self) {
            for (const std::string &it : m_dependencies.membership.dataCentres(now)) {
                names.insert(ownerOf(service, it, now));
            }
        }
    }
    names.erase(m_self);
    names.erase(std::string());
    return names;
}

void PlacementExchange::greet(const std::string &vm)
{
    const Clock::TimePoint now = m_dependencies.clock.now();
    for (const std::string &service : services()) {
        if (ownerOf(service, m_dataCentre, now) != vm) {
            continue;
        }
        const std::scoped_lock lock(m_mutex);
        const std::vector<PlacementReport> inProgress = m_ledger.reports(service, now);
        m_reports.insert(m_reports.end(), inProgress.begin(), inProgress.end());
    }
    scheduleReports();
}

PlacementHandlers PlacementExchange::handlers()
{
    PlacementHandlers handlers;
    handlers.queries = [this](const std::string &vm, const std::vector<PlacementQuery> &queries) {
        m_dependencies.transport.sendPlacementAnswers(vm, m_owner.place(vm, queries));
    };
    handlers.answers = [this](const std::string &vm, const std::vector<PlacementAnswer> &answers) {
        receiveAnswers(vm, answers);
    };
    handlers.reports = [this](const std::string &vm, const std::vector<PlacementReport> &reports) {
        m_owner.apply(vm, reports);
    };
    handlers.totals = [this](const std::string &vm, const std::string &service, const std::vector<PlacementTotal> &totals) {
        m_owner.setRemote(vm, service, totals);
    };
    return handlers;
}

Asio::awaitable<void> PlacementExchange::maintain()
{
    const auto self = shared_from_this();
    Asio::steady_timer timer(m_strand);
    while (true) {
        for (const std::string &it : services()) {
            currentOwner(it);
        }
        const Clock::TimePoint now = m_dependencies.clock.now();
        sendTotals(now);
        std::set<std::string> live;
        for (const MemberRecord &it : m_dependencies.membership.live(now)) {
            live.insert(it.vm);
        }
        m_owner.maintain([&](const std::string &vm) {
            return vm == m_self || live.contains(vm) || m_dependencies.membership.reachable(vm, now); // Also those that drain.
        });
        timer.expires_after(totalsInterval);
        co_await timer.async_wait(Asio::as_tuple(Asio::use_awaitable));
    }
}

void PlacementExchange::sendTotals(Clock::TimePoint now)
{
    const std::set<std::string> dataCentres = m_dependencies.membership.dataCentres(now);
    for (const auto &[service, totals] : m_owner.takeTotals()) {
        if (!m_active || ownerOf(service, m_dataCentre, now) != m_self) {
            continue;
        }
        for (const std::string &it : dataCentres) {
            const std::string other = it == m_dataCentre ? std::string() : ownerOf(service, it, now);
            if (!other.empty()) {
                m_dependencies.transport.sendPlacementTotals(other, service, totals);
            }
        }
    }
}

void PlacementExchange::recordSource(const PlacementResult &result, const std::string &service)
{
    const std::string name(FallbackLog::name(result.source));
    m_dependencies.metrics.counter("placements_total{outcome=\"" + name + "\"}").add();
    if (result.source == Source::Placed) {
        return;
    }
    std::optional<std::size_t> count;
    {
        const std::scoped_lock lock(m_mutex);
        count = m_fallbackLog.add(result.source, m_dependencies.clock.now());
    }
    if (count) {
        Log::warning("placement", "fallback", {{"reason", name}, {"service", service}, {"count", std::to_string(*count)}});
    }
}

} // namespace Guavalock
