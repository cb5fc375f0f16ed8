#include "Tool/AdministrationClient.h"

#include "Net/HttpClient.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>

namespace Guavalock
{

namespace Asio = boost::asio;

namespace
{

constexpr std::chrono::milliseconds timeout{10'000};
constexpr unsigned statusOk = 200;

Reason refusalReason(const boost::json::value &answer)
{
    const boost::json::object *object = answer.if_object();
    if (object == nullptr || !object->contains("code") || !object->contains("reason")) {
        return {ResultCode::PeerProtocol, "could not parse the daemon's response"};
    }
    const auto code = static_cast<ResultCode>(object->at("code").to_number<unsigned>());
    const std::string name(object->at("name").as_string());
    return {code, std::to_string(resultNumber(code)) + " " + name + ": " + std::string(object->at("reason").as_string())};
}

} // namespace

AdministrationClient::AdministrationClient(Endpoint daemon)
    : m_daemon(std::move(daemon))
{
}

const Endpoint &AdministrationClient::daemon() const
{
    return m_daemon;
}

std::optional<boost::json::value> AdministrationClient::get(const std::string &resource, Reason &reason) const
{
    return call("GET", resource, {}, {}, reason);
}

std::optional<boost::json::value> AdministrationClient::put(const std::string &resource, const std::string &body, const Headers &headers,
                                                            Reason &reason) const
{
    return call("PUT", resource, body, headers, reason);
}

std::optional<boost::json::value> AdministrationClient::remove(const std::string &resource, const Headers &headers, Reason &reason) const
{
    return call("DELETE", resource, {}, headers, reason);
}

std::optional<boost::json::value> AdministrationClient::call(const std::string &method, const std::string &resource,
                                                             const std::string &body, const Headers &headers, Reason &reason) const
{
    Asio::io_context context;
    std::optional<HttpClient::Response> answer;
    HttpClient caller(context.get_executor(), m_daemon);
    HttpClient::Request request{method, "/admin/v1/" + resource, body, headers};
    auto run = [&]() -> Asio::awaitable<void> {
        answer = co_await caller.call(std::move(request), timeout);
    };
    Asio::co_spawn(context, run, Asio::detached);
    context.run();
    if (!answer) {
        reason = {ResultCode::PeerUnreachable,
                  "no response from " + m_daemon.text()
                      + "; check that the daemon is running and that --daemons gives its administration port"};
        return std::nullopt;
    }
    boost::json::error_code ec;
    boost::json::value value = boost::json::parse(answer->body, ec);
    if (ec || answer->status != statusOk) {
        reason = refusalReason(value);
        return std::nullopt;
    }
    return value;
}

} // namespace Guavalock
