#pragma once

namespace Guavalock
{

class ConfigurationService;
class MemberTable;
class PipelineRunner;
struct Services;

/// What front ends are made with. Every reference outlives them.
struct FrontEndContext {
    const Services &services;
    PipelineRunner &pipelines;
    ConfigurationService &configuration;
    MemberTable &members;
};

} // namespace Guavalock
