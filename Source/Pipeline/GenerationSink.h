#pragma once

#include "Decisions/GenerationProgress.h"
#include "Flow/TokenSink.h"

namespace Guavalock
{

/// Assembles a generated text and forwards new tokens to the caller when the caller requested a stream.
class GenerationSink : public TokenSink
{
public:
    explicit GenerationSink(TokenSink *caller);

    boost::asio::awaitable<Next> accept(std::vector<GeneratedToken> tokens) override;

    const GenerationProgress &progress() const;

private:
    GenerationProgress m_progress;
    TokenSink *m_caller;
};

} // namespace Guavalock
