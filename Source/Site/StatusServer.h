#pragma once

#include "Net/Acceptor.h"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <string>

namespace Guavalock
{

/// Answers short GET requests of the deployment's own tools: readiness and metrics.
class StatusServer
{
public:
    struct Page {
        unsigned status = 200;
        std::string body;
    };

    using Handler = std::function<Page(const std::string &path)>;

    StatusServer(boost::asio::any_io_executor executor, const Endpoint &endpoint, Handler handler);

    /// Listens. Throws boost::system::system_error when the address cannot be had.
    void start();

    void stop();

private:
    boost::asio::awaitable<void> serve(Acceptor::Socket socket);

    Handler m_handler;
    Acceptor m_acceptor;
};

} // namespace Guavalock
