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

/// A caller's connection to a daemon, which sends a request and reads the response body or event stream.
class LoadClient
{
public:
    struct Request {
        std::string path;
        std::string body;
        std::vector<std::pair<std::string, std::string>> headers;
        bool stream = false;
        std::chrono::milliseconds disconnectAfter{0}; ///< Zero waits for the response.
    };

    struct Response {
        bool connected = false;
        bool complete = false; ///< The HTTP response was read to its end.
        unsigned status = 0;
        std::string contentType;
        std::string body;
    };

    explicit LoadClient(boost::asio::any_io_executor strand);

    boost::asio::awaitable<Response> send(const Endpoint &daemon, Request request);

    /// Called when a part of the response body is read, for measurements.
    std::function<void(std::size_t bytes)> onBodyBytes;

private:
    boost::asio::awaitable<bool> connect(const Endpoint &daemon);

    boost::asio::any_io_executor m_strand;
    std::unique_ptr<boost::asio::ip::tcp::socket> m_socket;
    Endpoint m_daemon;
    boost::beast::flat_buffer m_buffer;
};

} // namespace Guavalock
