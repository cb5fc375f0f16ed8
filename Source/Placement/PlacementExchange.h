#pragma once

#include "Kernel/Clock.h"
#include "Kernel/RankedMutex.h"
#include "Placement/FallbackLog.h"
#include "Placement/OwnerSilence.h"
#include "Placement/PlacementHandlers.h"
#include "Placement/PlacementLedger.h"
#include "Placement/PlacementOwner.h"
#include "Placement/PlacementResult.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <chrono>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace Guavalock
{

class CatalogueTable;
class FleetMembership;
class FleetTable;
class Metrics;
class PlacementTransport;

/// Asks the placement owner of this daemon's data centre for targets, tells it what becomes of the requests, and acts as the owner where
/// this daemon is one. See docs/design/placement.md. Lock rank: Placements. Owned by a shared_ptr.
class PlacementExchange : public std::enable_shared_from_this<PlacementExchange>
{
public:
    struct Dependencies {
        const Clock &clock;
        const CatalogueTable &catalogue;
        FleetTable &fleet;
        const FleetMembership &membership;
        PlacementTransport &transport;
        Metrics &metrics;
    };

    PlacementExchange(const boost::asio::any_io_executor &executor, const Dependencies &dependencies);
    ~PlacementExchange();

    /// Starts the periodic exchange of totals. The pool must be stopped before the object is destroyed.
    void start();

    /// Sends no further reports. Must be called before the pool is stopped, because requests that are destroyed then report their end.
    /// Thread-safe.
    void stop();

    /// Sets the number of live daemons, on which it depends whether placement is used. Thread-safe.
    void setMemberCount(std::size_t count);

    /// Returns whether placement is used for services with a known capacity. Thread-safe.
    bool isActive() const;

    /// Asks the owner for a target and waits at most for the given time. Must be called on the strand. Sets the number of the query.
    boost::asio::awaitable<PlacementResult> place(PlacementQuery query, std::chrono::milliseconds maxWait,
                                                  boost::asio::any_io_executor strand);

    /// Records that a request is sent to a target. If the owner has not selected the target, it is told of it. Thread-safe.
    void recordPlaced(const PlacementResult &result, PlacementQuery query, const std::string &target);

    /// Tells the owner that a target has begun to respond, or of the end of a request. Thread-safe.
    void report(PlacementReport report);

    /// Returns the daemons to which this one needs a link. Thread-safe.
    std::set<std::string> partners(Clock::TimePoint now) const;

    /// Tells a daemon that has just been linked of the requests in progress if it is an owner. Thread-safe.
    void greet(const std::string &vm);

    /// Returns the handlers of messages of other daemons.
    PlacementHandlers handlers();

private:
    /// A request that waits for the owner's answer.
    struct Waiting {
        explicit Waiting(const boost::asio::any_io_executor &strand);

        boost::asio::any_io_executor strand;
        boost::asio::steady_timer timer; ///< Accessed only on the strand.
        PlacementResult::Source source = PlacementResult::Source::Timeout; ///< Likewise.
        std::string target; ///< Likewise.
    };

    std::vector<std::string> services() const;
    std::string ownerOf(const std::string &service, const std::string &dataCentre, Clock::TimePoint now) const;

    /// Returns the owner of a service in this data centre. If it has changed, it is told of the requests in progress.
    std::string currentOwner(const std::string &service);
    boost::asio::awaitable<PlacementResult> ask(const std::string &owner, PlacementQuery query, std::chrono::milliseconds maxWait,
                                                boost::asio::any_io_executor strand);
    void sendQueries();
    void scheduleReports();
    void sendReports();
    void resolve(const PlacementAnswer &answer, PlacementResult::Source source);
    void receiveAnswers(const std::string &vm, const std::vector<PlacementAnswer> &answers);
    boost::asio::awaitable<void> maintain();
    void sendTotals(Clock::TimePoint now);
    void recordSource(const PlacementResult &result, const std::string &service);

    boost::asio::any_io_executor m_strand;
    Dependencies m_dependencies;
    std::string m_self;
    std::string m_dataCentre;
    PlacementOwner m_owner;
    std::atomic<bool> m_active{false};
    std::atomic<bool> m_stopped{false};
    std::atomic<std::uint64_t> m_lastNumber;
    RankedMutex m_mutex{LockRank::Placements};
    PlacementLedger m_ledger;
    std::map<std::string, std::string> m_owners; ///< By service, as last seen.
    std::map<std::string, OwnerSilence> m_silences; ///< By owner.
    std::map<std::string, std::vector<PlacementQuery>> m_queries; ///< To be sent, by owner.
    std::vector<PlacementReport> m_reports; ///< To be sent.
    std::map<std::uint64_t, std::shared_ptr<Waiting>> m_waiting; ///< By number.
    FallbackLog m_fallbackLog;
    bool m_reportsScheduled = false;
};

} // namespace Guavalock
