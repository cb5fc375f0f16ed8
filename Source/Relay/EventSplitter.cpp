#include "Relay/EventSplitter.h"

namespace Guavalock
{

namespace
{

/// Returns the length of the whole events at the beginning of the text.
std::size_t wholeLength(std::string_view text)
{
    const std::size_t lf = text.rfind("\n\n");
    const std::size_t crlf = text.rfind("\r\n\r\n");
    const std::size_t lfEnd = lf == std::string_view::npos ? 0 : lf + 2;
    const std::size_t crlfEnd = crlf == std::string_view::npos ? 0 : crlf + 4;
    return std::max(lfEnd, crlfEnd);
}

} // namespace

std::string EventSplitter::take(std::string_view bytes)
{
    m_held.append(bytes);
    const std::size_t whole = wholeLength(m_held);
    std::string events = m_held.substr(0, whole);
    m_held.erase(0, whole);
    noteIds(events);
    return events;
}

void EventSplitter::noteIds(std::string_view events)
{
    constexpr std::string_view field = "id:";
    std::size_t at = 0;
    while (at < events.size()) {
        const std::size_t end = std::min(events.find('\n', at), events.size());
        std::string_view line = events.substr(at, end - at);
        at = end + 1;
        if (!line.starts_with(field)) {
            continue;
        }
        line.remove_prefix(field.size());
        while (!line.empty() && line.front() == ' ') {
            line.remove_prefix(1);
        }
        while (!line.empty() && line.back() == '\r') {
            line.remove_suffix(1);
        }
        m_lastId = line;
    }
}

void EventSplitter::reset()
{
    m_held.clear();
}

bool EventSplitter::partial() const
{
    return !m_held.empty();
}

const std::string &EventSplitter::lastId() const
{
    return m_lastId;
}

} // namespace Guavalock
