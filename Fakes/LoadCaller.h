#pragma once

#include "Settings/Endpoint.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace Guavalock
{

/// One caller's connection to a daemon: sends a request and reads the answer, whole or as events.
class LoadCaller
{
public:
    struct Request {
        std::string path;
        std::string body;
        std::vector<std::pair<std::string, std::string>> headers;
        bool stream = false;
        std::chrono::milliseconds closeAfter{0}; ///< Zero to stay until the answer.
    };

    struct Answer {
        bool connected = false;
        bool whole = false; ///< The HTTP answer came to its regular end.
        unsigned status = 0;
        std::string contentType;
        std::string body;
    };

    explicit LoadCaller(boost::asio::any_io_executor strand);

    boost::asio::awaitable<Answer> send(const Endpoint &daemon, Request request);

    /// Is told when bytes of a streamed answer come, for measurements.
    std::function<void(std::size_t bytes)> onBytes;

private:
    boost::asio::awaitable<bool> connect(const Endpoint &daemon);

    boost::asio::any_io_executor m_strand;
    std::unique_ptr<boost::asio::ip::tcp::socket> m_socket;
    Endpoint m_daemon;
    boost::beast::flat_buffer m_buffer;
};

} // namespace Guavalock
