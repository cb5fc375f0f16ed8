#include "Targets/TargetProbe.h"

#include "Net/HttpCaller.h"
#include "Targets/LoadHeader.h"

namespace Guavalock
{

boost::asio::awaitable<std::optional<LoadReport>> TargetProbe::ask(boost::asio::any_io_executor strand, Endpoint endpoint)
{
    HttpCaller client(std::move(strand), std::move(endpoint));
    HttpCaller::Request request;
    request.path = "/load";
    request.headers.emplace_back("Connection", "close");
    const std::optional<HttpCaller::Answer> response = co_await client.call(std::move(request), timeout);
    if (!response) {
        co_return std::nullopt;
    }
    co_return LoadHeader::parse(response->load);
}

} // namespace Guavalock
