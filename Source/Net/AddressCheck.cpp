#include "Net/AddressCheck.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace Guavalock
{

namespace Asio = boost::asio;

std::optional<AddressCheck::Unavailable> AddressCheck::findUnavailable(const std::vector<Endpoint> &addresses)
{
    Asio::io_context context;
    for (const Endpoint &it : addresses) {
        boost::system::error_code ec;
        const Asio::ip::tcp::endpoint local(Asio::ip::make_address(it.address, ec), it.port);
        Asio::ip::tcp::acceptor acceptor(context);
        acceptor.open(local.protocol(), ec);
        acceptor.set_option(Asio::socket_base::reuse_address(true), ec);
        acceptor.bind(local, ec);
        // Any other error is reported by the server's own start.
        if (ec == Asio::error::address_in_use || ec == boost::system::errc::address_not_available) {
            return Unavailable{it, ec};
        }
    }
    return std::nullopt;
}

} // namespace Guavalock
