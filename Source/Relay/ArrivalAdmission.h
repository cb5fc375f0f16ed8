#pragma once

#include "Admission/WholeRequestAdmission.h"
#include "Kernel/Clock.h"
#include "Kernel/Refusal.h"

#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace Guavalock
{

class Catalogue;
struct OpaqueRequest;
struct RelayContext;
struct RouteRecord;

/// Applies WholeRequestAdmission to one request with stages, and counts where its estimate was wrong.
class ArrivalAdmission
{
public:
    /// When the response has to start.
    struct Deadlines {
        Clock::TimePoint objective;
        Clock::TimePoint firstEvent; ///< Clients disconnect after it.
    };

    /// All arguments must outlive the object.
    ArrivalAdmission(const RelayContext &context, const OpaqueRequest &request, const RouteRecord &route, const Catalogue &catalogue,
                     unsigned rank);

    /// Returns the refusal of a request that must not be executed, or nothing. Call it once, before any stage work.
    std::optional<Refusal> refuse(const std::string &answerService, Deadlines deadlines);

    /// Returns the services whose backlog was known at the decision.
    const std::set<std::string> &consideredServices() const;

    /// Returns when a request that is refused later may be repeated, or nothing without recent backlogs.
    std::optional<std::chrono::milliseconds> retryAfter() const;

    /// Counts an admitted request that was late or refused.
    ///
    /// @param outcome The outcome of the request as it is logged.
    void recordEnd(std::string_view outcome, bool late) const;

private:
    void logRefusal(const WholeRequestAdmission::Verdict &verdict, Clock::Duration left) const;

    /// Returns the request's stage graph with the backlogs that are known now.
    std::vector<WholeRequestAdmission::Stage> stages(Clock::TimePoint now) const;

    const RelayContext &m_context;
    const OpaqueRequest &m_request;
    const RouteRecord &m_route;
    const Catalogue &m_catalogue;
    unsigned m_rank;
    std::set<std::string> m_considered;
    bool m_refused = false;
};

} // namespace Guavalock
