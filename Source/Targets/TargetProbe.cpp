#include "Targets/TargetProbe.h"

#include "Net/HttpCaller.h"
#include "Targets/LoadHeader.h"

namespace Guavalock
{

boost::asio::awaitable<std::optional<LoadReport>> TargetProbe::ask(boost::asio::any_io_executor strand, Endpoint endpoint)
{
    HttpCaller caller(std::move(strand), std::move(endpoint));
    HttpCaller::Request request;
    request.path = "/load";
    request.headers.emplace_back("Connection", "close");
    const std::optional<HttpCaller::Answer> answer = co_await caller.call(std::move(request), timeout);
    if (!answer) {
        co_return std::nullopt;
    }
    co_return LoadHeader::parse(answer->load);
}

} // namespace Guavalock
