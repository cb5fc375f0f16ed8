#pragma once

#include <string>
#include <string_view>

namespace Guavalock
{

/// Splits a byte stream into complete server-sent events, so that another target can resume the stream after the last one forwarded.
class EventSplitter
{
public:
    static constexpr std::size_t maxEventBytes = 1024 * 1024; ///< Far above a valid event. Bounds the memory that a stream can occupy.

    /// Buffers bytes and returns the events completed by them.
    std::string append(std::string_view bytes);

    /// Returns whether complete events contain anything but comments, which servers send to keep a connection open.
    static bool containsData(std::string_view events);

    /// Returns whether an incomplete event exceeds maxEventBytes.
    bool overflowed() const;

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
