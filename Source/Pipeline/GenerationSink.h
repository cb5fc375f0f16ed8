#pragma once

#include "Decisions/GenerationProgress.h"
#include "Flow/PartSink.h"

namespace Guavalock
{

/// Assembles a generated text and forwards new tokens to the caller when the caller requested a stream.
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
