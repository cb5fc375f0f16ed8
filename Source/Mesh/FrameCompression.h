#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace Guavalock
{

/// Compresses frames with zstd. Records are JSON texts that resemble each other.
class FrameCompression
{
public:
    using Bytes = std::vector<std::uint8_t>;

    static constexpr std::size_t minBytes = 4 * 1024; ///< Smaller frames fit into a few packets anyway.

    /// Returns the compressed bytes, or nothing if they are fewer than `minBytes` or don't become fewer.
    static std::optional<Bytes> compress(std::span<const std::uint8_t> bytes);

    /// Returns the `size` bytes before compression. Returns nothing if `size` exceeds FrameChannel::maxFrameBytes or the data are damaged
    /// or expand to another size. No more memory than `size` is used, whatever the data state.
    static std::optional<Bytes> expand(std::span<const std::uint8_t> data, std::size_t size);
};

} // namespace Guavalock
