#include "Peer/FrameChannel.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/endian/conversion.hpp>

#include <algorithm>
#include <span>

namespace Guavalock
{

namespace Asio = boost::asio;

namespace
{

constexpr std::size_t prefixBytes = sizeof(std::uint32_t);

} // namespace

FrameChannel::FrameChannel(Asio::ip::tcp::socket socket)
    : m_socket(std::move(socket))
{
    boost::system::error_code ignored;
    m_socket.set_option(Asio::ip::tcp::no_delay(true), ignored);
}

Asio::awaitable<std::optional<FrameChannel::Bytes>> FrameChannel::read()
{
    Bytes frame(prefixBytes);
    const auto [prefixError, prefixSize] = co_await Asio::async_read(m_socket, Asio::buffer(frame), Asio::as_tuple(Asio::use_awaitable));
    if (prefixError) {
        co_return std::nullopt;
    }
    const std::size_t length = boost::endian::load_little_u32(frame.data());
    if (length > maxFrameBytes) {
        co_return std::nullopt;
    }
    const std::size_t end = prefixBytes + length;
    while (frame.size() < end) {
        const std::size_t begin = frame.size();
        const std::size_t next = std::min(end, std::max(firstReadBytes, 2 * begin));
        frame.reserve(next);
        frame.resize(next);
        const auto [ec, n]
            = co_await Asio::async_read(m_socket, Asio::buffer(frame.data() + begin, next - begin), Asio::as_tuple(Asio::use_awaitable));
        if (ec) {
            co_return std::nullopt;
        }
    }
    co_return frame;
}

void FrameChannel::send(Bytes frame)
{
    Asio::post(m_socket.get_executor(),
               [self = shared_from_this(), frame = std::move(frame)]() mutable { self->enqueue(std::move(frame)); });
}

void FrameChannel::enqueue(Bytes frame)
{
    if (!m_socket.is_open()) {
        return;
    }
    m_queuedBytes += frame.size();
    m_queue.push_back(std::move(frame));
    if (m_queuedBytes > maxQueuedBytes) {
        closeNow();
        return;
    }
    if (!m_writing) {
        m_writing = true;
        Asio::co_spawn(
            m_socket.get_executor(), [self = shared_from_this()] { return self->writeQueue(); }, Asio::detached);
    }
}

Asio::awaitable<void> FrameChannel::writeQueue()
{
    while (!m_queue.empty()) {
        // All frames queued so far are sent with one gathered write.
        std::deque<Bytes> batch;
        batch.swap(m_queue);
        const std::size_t batchBytes = m_queuedBytes;
        std::vector<Asio::const_buffer> buffers;
        buffers.reserve(batch.size());
        for (const Bytes &it : batch) {
            buffers.push_back(Asio::buffer(it));
        }
        const auto [ec, n] = co_await Asio::async_write(m_socket, buffers, Asio::as_tuple(Asio::use_awaitable));
        if (ec) {
            closeNow();
        } else {
            m_queuedBytes -= batchBytes;
        }
    }
    m_writing = false;
}

Asio::awaitable<bool> FrameChannel::write(std::vector<SharedFrame> frames, std::function<void()> onAccepted)
{
    const auto self = shared_from_this();
    std::vector<Asio::const_buffer> buffers;
    buffers.reserve(frames.size());
    for (const SharedFrame &it : frames) {
        buffers.push_back(Asio::buffer(*it));
    }
    auto first = buffers.begin();
    while (first != buffers.end()) {
        const std::span<const Asio::const_buffer> rest(first, buffers.end());
        auto [ec, n] = co_await m_socket.async_write_some(rest, Asio::as_tuple(Asio::use_awaitable));
        if (ec) {
            co_return false;
        }
        onAccepted();
        while (first != buffers.end() && n >= first->size()) {
            n -= first->size();
            ++first;
        }
        if (first != buffers.end()) {
            *first += n;
        }
    }
    co_return true;
}

void FrameChannel::closeNow()
{
    boost::system::error_code ignored;
    m_socket.close(ignored);
    m_queue.clear();
    m_queuedBytes = 0;
}

void FrameChannel::close()
{
    Asio::post(m_socket.get_executor(), [self = shared_from_this()] { self->closeNow(); });
}

Asio::any_io_executor FrameChannel::strand()
{
    return m_socket.get_executor();
}

} // namespace Guavalock
