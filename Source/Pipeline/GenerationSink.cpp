#include "Pipeline/GenerationSink.h"

namespace Guavalock
{

GenerationSink::GenerationSink(TokenSink *caller)
    : m_caller(caller)
{
}

boost::asio::awaitable<TokenSink::Next> GenerationSink::accept(std::vector<GeneratedToken> tokens)
{
    std::vector<GeneratedToken> newTokens;
    newTokens.reserve(tokens.size());
    bool gap = false;
    for (GeneratedToken &it : tokens) {
        const GenerationProgress::Step step = m_progress.add(it.position, it.text);
        if (step == GenerationProgress::Step::Gap) {
            gap = true;
            break;
        }
        if (step == GenerationProgress::Step::Appended) {
            newTokens.push_back(std::move(it));
        }
    }
    Next next = gap ? Next::Stop : Next::Continue;
    if (m_caller != nullptr && !newTokens.empty() && co_await m_caller->accept(std::move(newTokens)) == Next::Stop) {
        next = Next::Stop;
    }
    co_return next;
}

const GenerationProgress &GenerationSink::progress() const
{
    return m_progress;
}

} // namespace Guavalock
