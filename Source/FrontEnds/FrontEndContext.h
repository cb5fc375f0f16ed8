#pragma once

namespace Guavalock
{

class ConfigurationService;
class MemberTable;
class PipelineRunner;
struct Services;

/// Dependencies of front ends. Every reference outlives them.
struct FrontEndContext {
    const Services &services;
    PipelineRunner &pipelines;
    ConfigurationService &configuration;
    MemberTable &members;
};

} // namespace Guavalock
