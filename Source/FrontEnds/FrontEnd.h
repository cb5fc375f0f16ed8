#pragma once

namespace Guavalock
{

/// A way in: serves one kind of client on one address.
class FrontEnd
{
public:
    static constexpr const char *pluginKind = "front-end";

    virtual ~FrontEnd() = default;

    /// Starts to serve. Throws boost::system::system_error when the address cannot be had.
    virtual void start() = 0;

    /// A planned stop has begun: clients are asked to go elsewhere, while their requests are still served.
    virtual void startDraining() = 0;

    /// Accepts no more connections.
    virtual void stop() = 0;
};

} // namespace Guavalock
