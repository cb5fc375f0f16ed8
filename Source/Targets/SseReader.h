#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace Guavalock
{

/// Cuts a byte stream into the data of server-sent events. Comments, event names and ids are passed over.
class SseReader
{
public:
    static constexpr std::size_t maxEventBytes = 1024 * 1024;

    /// Adds bytes and returns the data of the events they complete. Returns false in good when an event exceeds the limit.
    std::vector<std::string> feed(std::string_view bytes, bool &good);

private:
    void endLine(std::vector<std::string> &events);

    std::string m_line;
    std::string m_data;
    bool m_hasData = false;
};

} // namespace Guavalock
