#pragma once

#include <string>
#include <string_view>

namespace Guavalock
{

/// Splits a byte stream into complete server-sent events, so that another target can resume the stream after the last one forwarded.
class EventSplitter
{
public:
    /// Buffers bytes and returns the events completed by them.
    std::string append(std::string_view bytes);

    /// Discards an incomplete event.
    void discardPartialEvent();

    /// Returns whether an incomplete event is buffered.
    bool hasPartialEvent() const;

    /// Returns the id of the last complete event, or an empty string if no event had one.
    const std::string &lastEventId() const;

private:
    void updateLastEventId(std::string_view events);

    std::string m_pending;
    std::string m_lastEventId;
};

} // namespace Guavalock
