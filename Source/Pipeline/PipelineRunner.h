#pragma once

#include "Flow/PipelineRequest.h"
#include "Flow/PipelineResponse.h"

#include <boost/asio/awaitable.hpp>

#include <optional>

namespace Guavalock
{

class Cancellation;
class KeyClaims;
class TokenSink;
class StageRunner;
struct RequestContext;
struct DaemonContext;

/// Runs a request through the stages of its pipeline, independently of the front-end protocol.
class PipelineRunner
{
public:
    PipelineRunner(const DaemonContext &context, StageRunner &stages, KeyClaims &keys);

    /// Returns the complete answer or a refusal. The sink may be null; otherwise it receives the last stage's tokens as they arrive.
    boost::asio::awaitable<PipelineResponse> run(PipelineRequest request, TokenSink *sink, Cancellation &cancellation);

private:
    std::optional<Refusal> prepare(RequestContext &state) const;
    boost::asio::awaitable<PipelineResponse> runStages(RequestContext &state, TokenSink *sink, Cancellation &cancellation);
    boost::asio::awaitable<PipelineResponse> runOnce(RequestContext &state, TokenSink *sink, Cancellation &cancellation);
    void count(const RequestContext &state, const PipelineResponse &answer) const;

    const DaemonContext &m_context;
    StageRunner &m_stages;
    KeyClaims &m_keys;
};

} // namespace Guavalock
