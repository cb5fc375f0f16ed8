#include "Relay/EventSplitter.h"

#include <algorithm>

namespace Guavalock
{

namespace
{

constexpr std::size_t maxSeparatorBytes = 4; ///< Of the separator between two events.

/// Returns the length of the complete events at the start of the text.
std::size_t completeEventsLength(std::string_view text)
{
    const std::size_t lf = text.rfind("\n\n");
    const std::size_t crlf = text.rfind("\r\n\r\n");
    const std::size_t lfEnd = lf == std::string_view::npos ? 0 : lf + 2;
    const std::size_t crlfEnd = crlf == std::string_view::npos ? 0 : crlf + 4;
    return std::max(lfEnd, crlfEnd);
}

} // namespace

std::string EventSplitter::append(std::string_view bytes)
{
    // The bytes before do not contain the end of an event, but may contain its beginning.
    const std::size_t searched = m_pending.size() - std::min(m_pending.size(), maxSeparatorBytes - 1);
    m_pending.append(bytes);
    const std::size_t found = completeEventsLength(std::string_view(m_pending).substr(searched));
    const std::size_t complete = found == 0 ? 0 : searched + found;
    std::string events = m_pending.substr(0, complete);
    m_pending.erase(0, complete);
    updateLastEventId(events);
    return events;
}

void EventSplitter::updateLastEventId(std::string_view events)
{
    constexpr std::string_view field = "id:";
    std::size_t position = 0;
    while (position < events.size()) {
        const std::size_t end = std::min(events.find('\n', position), events.size());
        std::string_view line = events.substr(position, end - position);
        position = end + 1;
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
        m_lastEventId = line;
    }
}

bool EventSplitter::containsData(std::string_view events)
{
    bool lineStart = true;
    for (const char it : events) {
        if (lineStart && it != ':' && it != '\n' && it != '\r') {
            return true;
        }
        lineStart = it == '\n';
    }
    return false;
}

bool EventSplitter::overflowed() const
{
    return m_pending.size() > maxEventBytes;
}

void EventSplitter::discardPartialEvent()
{
    m_pending.clear();
}

bool EventSplitter::hasPartialEvent() const
{
    return !m_pending.empty();
}

const std::string &EventSplitter::lastEventId() const
{
    return m_lastEventId;
}

} // namespace Guavalock
