#pragma once

#include <string>
#include <string_view>

namespace Guavalock
{

/// Cuts a stream of server-sent events into whole events, so that a stream can go on at another target after the last of them.
class EventSplitter
{
public:
    /// Takes bytes in and returns the whole events that are complete now.
    std::string take(std::string_view bytes);

    /// Forgets the beginning of an event that will not be completed.
    void reset();

    /// Returns whether part of an event is held.
    bool partial() const;

    /// Returns the id of the last whole event, or empty when there was none.
    const std::string &lastId() const;

private:
    void noteIds(std::string_view events);

    std::string m_held;
    std::string m_lastId;
};

} // namespace Guavalock
