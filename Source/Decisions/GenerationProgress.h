#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace Guavalock
{

/// Assembles a generated answer from its tokens, which may come from several targets.
///
/// Each token carries its position. A token at a position that is already present is dropped; a gap makes the stream invalid.
class GenerationProgress
{
public:
    enum class Step {
        Appended,
        Duplicate,
        Gap,
    };

    Step add(std::size_t position, std::string_view text);

    /// Returns the number of tokens assembled, which is the position of the next one.
    std::size_t position() const;

    const std::string &text() const;

    /// Returns a checksum of the text, with which the caller can verify it.
    std::uint64_t checksum() const;

private:
    std::size_t m_position = 0;
    std::string m_text;
};

} // namespace Guavalock
