#pragma once

#include "Net/Acceptor.h"

#include <boost/asio/awaitable.hpp>
#include <boost/system/error_code.hpp>

#include <functional>
#include <string>

namespace Guavalock
{

/// HTTP server for the readiness probes and the metrics scraper of the deployment.
class StatusServer
{
public:
    struct Response {
        unsigned status = 200;
        std::string body;
    };

    using Handler = std::function<Response(const std::string &path)>;

    StatusServer(boost::asio::any_io_executor executor, const Endpoint &endpoint, Handler handler);

    /// Starts to listen. Throws boost::system::system_error if the address cannot be bound.
    void start();

    /// As above, but returns the error. The call may be repeated then.
    boost::system::error_code tryStart();

    void stop();

private:
    boost::asio::awaitable<void> serve(Acceptor::Socket socket);

    Handler m_handler;
    Acceptor m_acceptor;
};

} // namespace Guavalock
