#include "Pipeline/GenerationSink.h"

namespace Guavalock
{

GenerationSink::GenerationSink(PartSink *caller)
    : m_caller(caller)
{
}

boost::asio::awaitable<PartSink::Next> GenerationSink::take(std::vector<Part> parts)
{
    std::vector<Part> newTokens;
    newTokens.reserve(parts.size());
    bool gap = false;
    for (Part &it : parts) {
        const GenerationProgress::Step step = m_progress.add(it.position, it.text);
        if (step == GenerationProgress::Step::Gap) {
            gap = true;
            break;
        }
        if (step == GenerationProgress::Step::Taken) {
            newTokens.push_back(std::move(it));
        }
    }
    Next next = gap ? Next::Stop : Next::Go;
    if (m_caller != nullptr && !newTokens.empty() && co_await m_caller->take(std::move(newTokens)) == Next::Stop) {
        next = Next::Stop;
    }
    co_return next;
}

const GenerationProgress &GenerationSink::progress() const
{
    return m_progress;
}

} // namespace Guavalock
