#pragma once

namespace Guavalock
{

/// A server for one kind of client on one address.
class FrontEnd
{
public:
    static constexpr const char *pluginKind = "front-end";

    virtual ~FrontEnd() = default;

    /// Starts listening. Throws boost::system::system_error if the address cannot be bound.
    virtual void start() = 0;

    /// Announces a planned shutdown to clients, so that they use another daemon. Requests are still accepted;
    /// RequestTable::refuseNewRequests() later ends that for the requests of callers.
    virtual void announceShutdown() = 0;

    /// Stops accepting connections.
    virtual void stop() = 0;
};

} // namespace Guavalock
