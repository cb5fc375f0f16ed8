#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <string>
#include <thread>

namespace Guavalock
{

/// A target that responds before it has read the body of a request. Serves one connection at a time on its own thread.
class EarlyResponder
{
public:
    /// What happens between the end of the response and the end of the connection.
    enum class Ending {
        Reset, ///< Resets the connection with the upload unread.
        ReadUpload, ///< Reads the upload and closes the connection.
        HalfClose, ///< Closes the sending side at once, reads the upload and closes the connection.
        UploadFirst, ///< Reads the upload before it responds, and closes the connection.
    };

    /// With a small receive buffer, callers are still writing a long upload when the response arrives.
    EarlyResponder(std::uint16_t port, int receiveBufferBytes);
    ~EarlyResponder();

    EarlyResponder(const EarlyResponder &) = delete;
    EarlyResponder &operator=(const EarlyResponder &) = delete;

    /// Sets the response to the requests that follow. The header with the attempt id is added to it. Must not be called while a request is
    /// in progress.
    void setResponse(std::string statusLine, std::string headers, std::string body, Ending ending);

private:
    void run();
    void serve(boost::asio::ip::tcp::socket &socket) const;

    boost::asio::io_context m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::string m_statusLine;
    std::string m_headers;
    std::string m_body;
    Ending m_ending = Ending::Reset;
    std::jthread m_thread;
};

} // namespace Guavalock
