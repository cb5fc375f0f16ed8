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

/// One caller that keeps its connection for as long as the daemon does. Blocks while it waits.
class SoakClient
{
public:
    enum class Kind {
        Safe,
        Once,
        Stream,
    };

    struct Result {
        std::string id;
        Kind kind = Kind::Safe;
        unsigned status = 0; ///< Zero when the connection ended first.
        bool sent = false; ///< The request was written whole on an open connection.
        bool whole = false;
        bool right = false; ///< The body is the one that the target makes for this request.
        std::chrono::steady_clock::time_point end;
    };

    explicit SoakClient(Endpoint daemon);
    ~SoakClient();

    Result ask(Kind kind, const std::string &id, const std::string &key);

private:
    bool connected();
    static bool right(Kind kind, const std::string &id, const std::string &body);

    Endpoint m_daemon;
    boost::asio::io_context m_context;
    std::unique_ptr<boost::asio::ip::tcp::socket> m_socket;
    boost::beast::flat_buffer m_buffer;
};

} // namespace Guavalock
