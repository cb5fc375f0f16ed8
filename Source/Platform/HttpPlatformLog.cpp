#include "Flow/JsonText.h"
#include "Kernel/Registration.h"
#include "Net/HttpClient.h"
#include "Platform/PlatformLog.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

namespace Guavalock
{

namespace Asio = boost::asio;

namespace
{

constexpr std::chrono::milliseconds callTimeout{2'000};
constexpr unsigned statusOk = 200;
constexpr unsigned firstClientError = 400;

PlatformLog::Record parseRecord(const boost::json::object &object)
{
    PlatformLog::Record record;
    record.offset = JsonText::number(object, "offset");
    record.time = Clock::WallTime(std::chrono::milliseconds(JsonText::number(object, "time_ms")));
    record.id = JsonText::text(object, "id");
    record.data = JsonText::text(object, "data");
    return record;
}

/// Client of the log service over HTTP with JSON. docs/PLATFORM.md describes the protocol.
class HttpPlatformLog : public PlatformLog
{
public:
    HttpPlatformLog(Asio::any_io_executor strand, const Endpoint &endpoint)
        : m_client(std::move(strand), endpoint)
    {
    }

    Asio::awaitable<AppendStatus> append(std::string stream, std::vector<Entry> entries) override
    {
        boost::json::array list;
        for (const Entry &it : entries) {
            list.push_back(boost::json::object{{"id", it.id}, {"data", it.data}});
        }
        HttpClient::Request request;
        request.method = "POST";
        request.path = "/v1/logs/" + stream;
        request.body = boost::json::serialize(boost::json::object{{"entries", std::move(list)}});
        const std::optional<HttpClient::Response> response = co_await m_client.call(std::move(request), callTimeout);
        if (!response) {
            co_return AppendStatus::Unknown;
        }
        if (response->status == statusOk) {
            co_return AppendStatus::Appended;
        }
        co_return response->status >= firstClientError ? AppendStatus::Refused : AppendStatus::Unknown;
    }

    Asio::awaitable<std::optional<Batch>> read(std::string stream, std::uint64_t from, std::chrono::milliseconds wait) override
    {
        HttpClient::Request request;
        request.path = "/v1/logs/" + stream + "?from=" + std::to_string(from) + "&wait_ms=" + std::to_string(wait.count());
        const std::optional<HttpClient::Response> response = co_await m_client.call(std::move(request), callTimeout + wait);
        if (!response || response->status != statusOk) {
            co_return std::nullopt;
        }
        co_return parseBatch(response->body);
    }

private:
    static std::optional<Batch> parseBatch(const std::string &body)
    {
        Reason reason;
        const std::optional<boost::json::object> object = JsonText::object(body, ResultCode::PlatformRejected, reason);
        if (!object || !object->contains("next") || !object->contains("records") || !object->at("records").is_array()) {
            return std::nullopt;
        }
        Batch batch;
        batch.next = JsonText::number(*object, "next");
        batch.oldest = JsonText::number(*object, "oldest");
        for (const boost::json::value &it : object->at("records").get_array()) {
            if (it.is_object()) {
                batch.records.push_back(parseRecord(it.get_object()));
            }
        }
        return batch;
    }

    HttpClient m_client;
};

const Registration<PlatformLog, HttpPlatformLog, Asio::any_io_executor, const Endpoint &> registration("http", "the log service over HTTP");

} // namespace

} // namespace Guavalock
