#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace Guavalock
{

/// Incremental parser for server-sent events. Returns the data fields; comments, event names and ids are ignored.
class SseReader
{
public:
    static constexpr std::size_t maxEventBytes = 1024 * 1024;

    /// Consumes bytes and returns the data of all events that are now complete. Sets `valid` to false if an event exceeds maxEventBytes.
    std::vector<std::string> feed(std::string_view bytes, bool &valid);

private:
    void endLine(std::vector<std::string> &events);

    std::string m_line;
    std::string m_data;
    bool m_hasData = false;
};

} // namespace Guavalock
