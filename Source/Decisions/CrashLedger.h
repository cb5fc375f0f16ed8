#pragma once

#include "Decisions/ContentEvidence.h"
#include "Kernel/Clock.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Guavalock
{

/// Decides which content of requests crashes targets, from the crashes of all daemons.
///
/// Content is a part of a prompt or a whole request, identified by a hash. Each crash names all content of requests whose response had not
/// begun, of which most is innocent. Content is innocent of a crash if a target completed a response to it afterwards, or if other content
/// explains the crash. Content with the most crashes that are left is quarantined: requests with it are refused, for a time that doubles
/// with each quarantine. Then the daemons take turns to try a single request; if that crashes a target, the next quarantine begins at once.
///
/// If several have the most crashes, three are enough for whole requests among them, and five for parts. Of these, the ones that few
/// requests have are quarantined, for a short time only. Crashes of a single target count half, since it may have a fault of its own.
///
/// Daemons adopt the quarantines of others unless they know a response after the last crash. Memory is bounded; the oldest evidence is
/// dropped.
class CrashLedger
{
public:
    struct Limits {
        std::size_t maxCrashes = 128;
        std::size_t maxContentsPerCrash = 256;
        std::size_t maxQuarantines = 256;
        std::size_t maxContents = 8'192; ///< Content with a known response, or in requests.
        Clock::Duration memory = std::chrono::minutes(5); ///< Time after which a crash is forgotten.
        Clock::Duration settleTime = std::chrono::milliseconds(400); ///< Time in which all daemons have told what they had at a target.
        Clock::Duration firstQuarantine = std::chrono::minutes(1);
        Clock::Duration ambiguousQuarantine = std::chrono::seconds(10); ///< The first one, if several had the most crashes.
        Clock::Duration maxQuarantine = std::chrono::hours(1);
        Clock::Duration trialPeriod = std::chrono::seconds(5); ///< After a quarantine, one daemon in turn may try a request in each.
    };

    /// Returns whether this daemon tries content in a period after its quarantine. All daemons with the same view select the same one, and
    /// another one for each period.
    using IsTrialDaemon = std::function<bool(std::uint64_t content, unsigned period)>;

    CrashLedger(Limits limits, IsTrialDaemon isTrialDaemon);

    /// Records a crash that this daemon has seen.
    void recordCrash(const CrashReport &crash, Clock::TimePoint now);

    /// Records that a target completed a response to a request with the content.
    void recordResponse(const std::vector<std::uint64_t> &contents, Clock::TimePoint now);

    /// Merges the evidence of another daemon. Returns the part that was new.
    ContentEvidence merge(const ContentEvidence &evidence, Clock::TimePoint now);

    /// Returns how long new requests with the content are refused, or nothing if a request can be accepted, possibly as a trial.
    std::optional<Clock::Duration> refuseNew(const std::vector<std::uint64_t> &contents, Clock::TimePoint now);

    /// Returns how long the content remains in quarantine, or nothing if an accepted request can be sent.
    std::optional<Clock::Duration> refuseSend(const std::vector<std::uint64_t> &contents, Clock::TimePoint now) const;

    /// Returns whether the content has been in quarantine since its last response. A request that may have run is not repeated then.
    bool refusesRepeats(const std::vector<std::uint64_t> &contents) const;

    /// Returns what this daemon has recorded and decided since the last call.
    ContentEvidence takeNews();

    bool hasNews() const;

    /// Returns all evidence that is not outdated, for a daemon that has just started.
    ContentEvidence snapshot(Clock::TimePoint now) const;

    /// Returns the content in quarantine.
    std::vector<ContentEvidence::Quarantine> quarantines(Clock::TimePoint now) const;

    /// Returns a number that changes with the quarantines.
    unsigned quarantineVersion() const;

    std::size_t crashCount() const;

    /// Returns the number of known crashes of targets that had the content.
    std::size_t crashesWith(std::uint64_t content) const;

private:
    struct Crash {
        std::string address;
        std::chrono::milliseconds startTime{0}; ///< Of the target; zero if not known.
        unsigned repetition = 0; ///< See CrashReport.
        Clock::TimePoint at;
        std::set<std::uint64_t> contents;

        /// Returns whether a report with this time is about this crash.
        bool isSame(const CrashReport &report, Clock::TimePoint reported) const;
    };

    struct Quarantine {
        Clock::TimePoint lastCrash;
        Clock::TimePoint end;
        Clock::Duration time{}; ///< How long it lasts.
        unsigned count = 0;
        Clock::TimePoint trialEnd{}; ///< End of the period in which this daemon has tried a request.
    };

    using Counts = std::map<std::uint64_t, unsigned>;

    /// Adds a crash without contents. Returns null if only newer ones can be remembered.
    Crash *addCrash(const CrashReport &report, Clock::TimePoint at);
    /// Returns the number of earlier crashes with the start time of a crash that this daemon has seen.
    unsigned repetitionOf(const CrashReport &report) const;
    // Each of these adds what was new to `news`.
    void mergeCrash(const CrashReport &report, Clock::TimePoint now, ContentEvidence &news);
    void mergeResponse(std::uint64_t content, Clock::TimePoint at, ContentEvidence &news);
    void mergeQuarantine(const ContentEvidence::Quarantine &quarantine, Clock::TimePoint now, ContentEvidence &news);
    void forgetOutdated(Clock::TimePoint now);
    /// Tells the others once that the content of a crash had a response.
    void tellResponse(std::uint64_t content);
    void rememberUse(std::uint64_t content);
    void rememberResponse(std::uint64_t content, Clock::TimePoint at);
    std::optional<Clock::TimePoint> lastResponse(std::uint64_t content) const;
    /// Returns whether a crash may be due to the content.
    bool isSuspect(std::uint64_t content) const;
    /// Returns the number of separate crashes that each content may have caused.
    Counts countCrashes(Clock::TimePoint now) const;
    /// Decides on crashes that have settled since the last decision.
    void decide(Clock::TimePoint now);
    void quarantineGuilty(Clock::TimePoint now);
    /// Returns the content to quarantine next, if any.
    std::vector<std::uint64_t> selectGuilty(Clock::TimePoint now) const;
    /// Returns the content with the most crashes if that is one and has `minimum`, or some of several that have more.
    std::vector<std::uint64_t> selectMost(const Counts &counts, unsigned minimum) const;
    std::vector<std::uint64_t> selectRare(const std::vector<std::uint64_t> &contents) const;
    unsigned useCount(std::uint64_t content) const;
    void beginQuarantine(std::uint64_t content, Clock::Duration time, Clock::TimePoint now);
    /// Begins the next quarantines of content whose trial may have crashed a target.
    void repeatQuarantines(const std::vector<std::uint64_t> &contents, Clock::TimePoint now);
    void limitQuarantines();

    Limits m_limits;
    IsTrialDaemon m_isTrialDaemon;
    std::deque<Crash> m_crashes; ///< In the order of receipt.
    /// Times of the last completed response, by content. Two generations, so that the oldest can be dropped at once.
    std::map<std::uint64_t, Clock::TimePoint> m_responses;
    std::map<std::uint64_t, Clock::TimePoint> m_olderResponses;
    std::set<std::uint64_t> m_toldResponses; ///< Content of crashes whose last response all daemons have been told.
    Counts m_uses; ///< Requests received here, by content. Two generations as well.
    Counts m_olderUses;
    std::map<std::uint64_t, Quarantine> m_quarantines;
    Clock::TimePoint m_nextDecision = Clock::TimePoint::max(); ///< When the next crash has settled.
    unsigned m_quarantineVersion = 0;
    ContentEvidence m_news;
};

} // namespace Guavalock
