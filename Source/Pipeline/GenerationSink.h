#pragma once

#include "Decisions/GenerationProgress.h"
#include "Flow/PartSink.h"

namespace Guavalock
{

/// Puts a generation together and passes new parts on to the caller, if the caller wants a stream.
class GenerationSink : public PartSink
{
public:
    explicit GenerationSink(PartSink *caller);

    boost::asio::awaitable<Next> take(std::vector<Part> parts) override;

    const GenerationProgress &progress() const;

private:
    GenerationProgress m_progress;
    PartSink *m_caller;
};

} // namespace Guavalock
