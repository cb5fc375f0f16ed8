#pragma once

#include "Peer/SharedFrame.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace Guavalock
{

/// Sends and receives frames over one TCP connection. Each frame is prefixed with its length as a 32-bit little-endian integer.
///
/// Owned by a shared_ptr. The socket's executor must be a strand; read() must be called on it.
class FrameChannel : public std::enable_shared_from_this<FrameChannel>
{
public:
    using Bytes = std::vector<std::uint8_t>;

    /// Memory for the first bytes of a frame. After that it grows with the bytes that have arrived, because the length in the prefix of a
    /// frame costs its sender nothing.
    static constexpr std::size_t firstReadBytes = 16 * 1024;
    static constexpr std::size_t maxFrameBytes = 16 * 1024 * 1024;
    static constexpr std::size_t maxQueuedBytes = 64 * 1024 * 1024;

    explicit FrameChannel(boost::asio::ip::tcp::socket socket);

    /// Returns the next frame including its length prefix, or nothing if the connection was closed or the frame exceeds maxFrameBytes.
    boost::asio::awaitable<std::optional<Bytes>> read();

    /// Queues a frame. Thread-safe. Closes the connection if more than maxQueuedBytes wait or are being written. Not to be used together
    /// with write().
    void send(Bytes frame);

    /// Writes frames. Must be called on the strand, and not again before it has returned. `onAccepted` is called whenever the system has
    /// accepted some bytes. Returns false if the connection was closed.
    boost::asio::awaitable<bool> write(std::vector<SharedFrame> frames, std::function<void()> onAccepted);

    /// Closes the connection. Thread-safe.
    void close();

    boost::asio::any_io_executor strand();

private:
    void enqueue(Bytes frame);
    void closeNow();
    boost::asio::awaitable<void> writeQueue();

    boost::asio::ip::tcp::socket m_socket;
    std::deque<Bytes> m_queue;
    std::size_t m_queuedBytes = 0;
    bool m_writing = false;
};

} // namespace Guavalock
