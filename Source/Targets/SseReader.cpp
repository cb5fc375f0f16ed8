#include "Targets/SseReader.h"

namespace Guavalock
{

namespace
{

constexpr std::string_view dataField = "data:";

} // namespace

std::vector<std::string> SseReader::feed(std::string_view bytes, bool &valid)
{
    std::vector<std::string> events;
    valid = true;
    while (!bytes.empty()) {
        const std::size_t end = bytes.find('\n');
        m_line += bytes.substr(0, end);
        if (m_line.size() + m_data.size() > maxEventBytes) {
            valid = false;
            return events;
        }
        if (end == std::string_view::npos) {
            return events;
        }
        endLine(events);
        bytes.remove_prefix(end + 1);
    }
    return events;
}

void SseReader::endLine(std::vector<std::string> &events)
{
    if (!m_line.empty() && m_line.back() == '\r') {
        m_line.pop_back();
    }
    if (m_line.empty()) {
        if (m_hasData) {
            events.push_back(std::move(m_data));
        }
        m_data.clear();
        m_hasData = false;
        return;
    }
    if (m_line.starts_with(dataField)) {
        std::string_view value = std::string_view(m_line).substr(dataField.size());
        if (value.starts_with(' ')) {
            value.remove_prefix(1);
        }
        if (m_hasData) {
            m_data += '\n';
        }
        m_data += value;
        m_hasData = true;
    }
    m_line.clear();
}

} // namespace Guavalock
