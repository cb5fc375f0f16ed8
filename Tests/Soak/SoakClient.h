#pragma once

#include "Settings/Endpoint.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <chrono>
#include <memory>
#include <string>

namespace Guavalock
{

/// A blocking HTTP caller that reuses its connection until the daemon closes it.
class SoakClient
{
public:
    enum class Kind {
        Idempotent,
        NonIdempotent,
        Streaming,
    };

    struct Result {
        std::string id;
        Kind kind = Kind::Idempotent;
        unsigned status = 0; ///< Zero if the connection ended before the response header.
        bool sent = false; ///< The request was written completely.
        bool complete = false; ///< The response was read to its end.
        bool correct = false; ///< The body is the one that the target generates for this request.
        std::chrono::steady_clock::time_point end;
    };

    explicit SoakClient(Endpoint daemon);
    ~SoakClient();

    Result send(Kind kind, const std::string &id, const std::string &key);

private:
    bool ensureConnected();
    static bool correct(Kind kind, const std::string &id, const std::string &body);

    Endpoint m_daemon;
    boost::asio::io_context m_context;
    std::unique_ptr<boost::asio::ip::tcp::socket> m_socket;
    boost::beast::flat_buffer m_buffer;
};

} // namespace Guavalock
