#pragma once

namespace Guavalock
{

class ConfigurationService;
class MemberTable;
class PipelineRunner;
struct DaemonContext;

/// Dependencies of front ends. Every reference outlives them.
struct FrontEndContext {
    const DaemonContext &daemon;
    PipelineRunner &pipelines;
    ConfigurationService &configuration;
    MemberTable &members;
};

} // namespace Guavalock
