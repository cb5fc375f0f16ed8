#pragma once

#include "Decisions/StageRetryPolicy.h"
#include "Flow/AttemptResult.h"
#include "Kernel/Refusal.h"
#include "Stages/Stage.h"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Guavalock
{

class AttemptRoute;
class Cancellation;
class GenerationSink;
class TokenSink;
struct RequestContext;
struct DaemonContext;
struct StageCall;
struct StageSettings;

/// Runs one stage of a request: makes attempts, retries failures and merges the output into the request context.
class StageRunner
{
public:
    /// Called when a target crashed while it was processing a request, with the number of known target crashes for that request. Returns
    /// when other daemons know of it.
    using TargetCrashHandler
        = std::function<boost::asio::awaitable<void>(std::uint64_t fingerprint, std::size_t crashes, Cancellation &cancellation)>;

    /// Routes are tried in order. A route is used only when all earlier routes have no target for the stage.
    StageRunner(const DaemonContext &context, std::vector<AttemptRoute *> routes, TargetCrashHandler onTargetCrash);
    ~StageRunner();

    /// Runs a stage. Returns nothing when its output was merged into the request context, or a refusal otherwise.
    boost::asio::awaitable<std::optional<Refusal>> run(RequestContext &state, std::size_t index, TokenSink *sink,
                                                       Cancellation &cancellation);

private:
    boost::asio::awaitable<AttemptResult> attempt(const StageCall &call, TokenSink &sink, Cancellation &cancellation);
    std::optional<StageCall> prepare(const RequestContext &state, std::size_t index, Reason &reason) const;
    void charge(const RequestContext &state, const StageSettings &stage, const AttemptResult &result) const;
    boost::asio::awaitable<void> waitForTarget(Cancellation &cancellation) const;
    bool complete(const Stage &stage, AttemptResult &result, const GenerationSink &sink) const;
    void prepareAttempt(StageCall &call, const RequestContext &state, std::size_t index, const StageRetryPolicy &course,
                        const GenerationSink &sink) const;
    StageRetryPolicy::Action afterFailure(const RequestContext &state, StageCall &call, const AttemptResult &result,
                                          StageRetryPolicy &course) const;
    /// Records the crash of a target. Neither a retry nor a refusal may precede it, or another daemon would not know the suspect.
    boost::asio::awaitable<void> recordTargetDeath(const RequestContext &state, Cancellation &cancellation) const;

    const DaemonContext &m_context;
    std::vector<AttemptRoute *> m_routes;
    TargetCrashHandler m_onTargetCrash;
    std::map<std::string, std::unique_ptr<Stage>> m_stages;
};

} // namespace Guavalock
