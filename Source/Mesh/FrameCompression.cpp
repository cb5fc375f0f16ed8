#include "Mesh/FrameCompression.h"

#include "Peer/FrameChannel.h"

#include <zstd.h>

namespace Guavalock
{

namespace
{

constexpr int level = 1; ///< The fastest. Daemons have a fraction of a core, and higher levels save little on JSON.

} // namespace

std::optional<FrameCompression::Bytes> FrameCompression::compress(std::span<const std::uint8_t> bytes)
{
    if (bytes.size() < minBytes) {
        return std::nullopt;
    }
    Bytes data(ZSTD_compressBound(bytes.size()));
    const std::size_t n = ZSTD_compress(data.data(), data.size(), bytes.data(), bytes.size(), level);
    if (ZSTD_isError(n) != 0 || n >= bytes.size()) {
        return std::nullopt;
    }
    data.resize(n);
    data.shrink_to_fit();
    return data;
}

std::optional<FrameCompression::Bytes> FrameCompression::expand(std::span<const std::uint8_t> data, std::size_t size)
{
    // The stated size of the content is checked first, so that a small frame cannot cause a large allocation.
    if (size > FrameChannel::maxFrameBytes || ZSTD_getFrameContentSize(data.data(), data.size()) != size) {
        return std::nullopt;
    }
    Bytes bytes(size);
    const std::size_t n = ZSTD_decompress(bytes.data(), bytes.size(), data.data(), data.size());
    if (ZSTD_isError(n) != 0 || n != size) {
        return std::nullopt;
    }
    return bytes;
}

} // namespace Guavalock
