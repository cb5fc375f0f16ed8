#pragma once

#include "Settings/Endpoint.h"

#include <chrono>
#include <cstddef>
#include <string>

namespace Guavalock
{

/// A client that sends bytes without end to a server until the server closes the connection.
class EndlessSender
{
public:
    struct Result {
        std::size_t sentBytes = 0;
        bool closed = false; ///< The server closed the connection before the time limit.
    };

    /// Connects, sends `begin`, then `repeated` again and again. Throws boost::system::system_error if the server refuses the connection.
    static Result run(const Endpoint &server, const std::string &begin, const std::string &repeated, std::chrono::milliseconds limit);
};

} // namespace Guavalock
