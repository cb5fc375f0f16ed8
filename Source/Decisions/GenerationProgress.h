#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace Guavalock
{

/// Puts a generated answer together from its parts, whichever target each came from.
///
/// Parts carry the position of their token. A part for a position already held is dropped; a gap makes the stream invalid.
class GenerationProgress
{
public:
    enum class Step {
        Taken,
        Duplicate,
        Gap,
    };

    Step add(std::size_t position, std::string_view text);

    /// Returns the number of tokens held, which is the position of the next.
    std::size_t position() const;

    const std::string &text() const;

    /// Returns a checksum of the text, for the caller to compare.
    std::uint64_t checksum() const;

private:
    std::size_t m_position = 0;
    std::string m_text;
};

} // namespace Guavalock
