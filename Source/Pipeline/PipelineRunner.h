#pragma once

#include "Flow/PipelineAnswer.h"
#include "Flow/PipelineRequest.h"

#include <boost/asio/awaitable.hpp>

#include <optional>

namespace Guavalock
{

class Cancellation;
class KeyClaims;
class PartSink;
class StageRunner;
struct RequestState;
struct Services;

/// Runs a request through the stages of its pipeline, independently of the front-end protocol.
class PipelineRunner
{
public:
    PipelineRunner(const Services &services, StageRunner &stages, KeyClaims &keys);

    /// Returns the complete answer or a refusal. The sink may be null; otherwise it receives the last stage's tokens as they arrive.
    boost::asio::awaitable<PipelineAnswer> run(PipelineRequest request, PartSink *sink, Cancellation &cancellation);

private:
    std::optional<Refusal> prepare(RequestState &state) const;
    boost::asio::awaitable<PipelineAnswer> runStages(RequestState &state, PartSink *sink, Cancellation &cancellation);
    boost::asio::awaitable<PipelineAnswer> runOnce(RequestState &state, PartSink *sink, Cancellation &cancellation);
    void count(const RequestState &state, const PipelineAnswer &answer) const;

    const Services &m_services;
    StageRunner &m_stages;
    KeyClaims &m_keys;
};

} // namespace Guavalock
