#include "Targets/TargetProbe.h"

#include "Net/HttpClient.h"
#include "Targets/LoadHeader.h"

namespace Guavalock
{

boost::asio::awaitable<std::optional<LoadReport>> TargetProbe::query(boost::asio::any_io_executor strand, Endpoint endpoint)
{
    HttpClient client(std::move(strand), std::move(endpoint));
    HttpClient::Request request;
    request.path = "/load";
    request.headers.emplace_back("Connection", "close");
    const std::optional<HttpClient::Response> response = co_await client.call(std::move(request), timeout);
    if (!response) {
        co_return std::nullopt;
    }
    co_return LoadHeader::parse(response->load);
}

} // namespace Guavalock
