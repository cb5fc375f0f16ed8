#include "Decisions/GenerationProgress.h"

#include "Decisions/Hash.h"

namespace Guavalock
{

GenerationProgress::Step GenerationProgress::add(std::size_t position, std::string_view text)
{
    if (position < m_position) {
        return Step::Duplicate;
    }
    if (position > m_position) {
        return Step::Gap;
    }
    ++m_position;
    m_text += text;
    return Step::Appended;
}

std::size_t GenerationProgress::position() const
{
    return m_position;
}

const std::string &GenerationProgress::text() const
{
    return m_text;
}

std::uint64_t GenerationProgress::checksum() const
{
    return Hash::of(m_text);
}

} // namespace Guavalock
