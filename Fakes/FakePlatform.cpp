#include "FakePlatform.h"

#include "Platform/LogRecords.h"
#include "Settings/ConfigurationDocument.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>

namespace Guavalock
{

namespace Asio = boost::asio;

namespace
{

constexpr double appendsPerSecond = 400;
constexpr std::chrono::hours retention{6};
constexpr std::size_t maxRecordsPerRead = 1000;
constexpr std::string_view pathPrefix = "/v1/logs/";

std::int64_t nowMilliseconds()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

std::uint64_t queryParameter(const std::string &target, const std::string &name)
{
    const std::size_t at = target.find(name + "=");
    return at == std::string::npos ? 0 : std::strtoull(target.c_str() + at + name.size() + 1, nullptr, 10);
}

} // namespace

FakePlatform::FakePlatform(const Asio::any_io_executor &executor, std::uint16_t port)
    : m_strand(Asio::make_strand(executor))
    , m_server(m_strand, port,
               [this](FakeServer::Socket &socket, FakeServer::Request request) { return handle(socket, std::move(request)); })
{
}

void FakePlatform::start()
{
    m_server.listen();
}

void FakePlatform::setOutage(bool outage)
{
    m_outage = outage;
}

void FakePlatform::setResponseLossRate(double probability)
{
    m_responseLossRate = probability;
}

std::size_t FakePlatform::recordCount(const std::string &stream)
{
    return stream == LogRecords::keyStream ? m_keyRecordCount : m_configurationRecordCount;
}

void FakePlatform::wakeReaders(Stream &stream)
{
    for (Asio::steady_timer *it : stream.readers) {
        it->cancel();
    }
}

Asio::awaitable<bool> FakePlatform::handle(FakeServer::Socket &socket, FakeServer::Request request)
{
    const std::string target(request.target());
    if (m_outage) {
        co_return false;
    }
    if (!target.starts_with(pathPrefix)) {
        co_return co_await FakeServer::send(socket, FakeServer::jsonResponse(404, "{}"));
    }
    const std::string name = target.substr(pathPrefix.size(), target.find('?') - pathPrefix.size());
    if (request.method_string() == "POST") {
        co_return co_await append(socket, name, request.body());
    }
    co_return co_await read(socket, name, queryParameter(target, "from"), std::chrono::milliseconds(queryParameter(target, "wait_ms")));
}

bool FakePlatform::consumeRateToken()
{
    const auto now = std::chrono::steady_clock::now();
    m_rateTokens
        = std::min(appendsPerSecond, m_rateTokens + std::chrono::duration<double>(now - m_tokensUpdatedAt).count() * appendsPerSecond);
    m_tokensUpdatedAt = now;
    if (m_rateTokens < 1) {
        return false;
    }
    m_rateTokens -= 1;
    return true;
}

Asio::awaitable<bool> FakePlatform::append(FakeServer::Socket &socket, const std::string &name, const std::string &body)
{
    if (!consumeRateToken()) {
        co_return co_await FakeServer::send(socket, FakeServer::jsonResponse(429, "{}"));
    }
    Stream &log = m_streams[name];
    const std::uint64_t first = log.nextOffset;
    const boost::json::value request = boost::json::parse(body);
    for (const boost::json::value &it : request.as_object().at("entries").as_array()) {
        const boost::json::object &entry = it.as_object();
        appendRecord(name, log, std::string(entry.at("id").as_string()), std::string(entry.at("data").as_string()));
    }
    wakeReaders(log);
    if (std::uniform_real_distribution<double>(0, 1)(m_random) < m_responseLossRate) {
        co_return false;
    }
    const boost::json::object reply{{"first", first}};
    co_return co_await FakeServer::send(socket, FakeServer::jsonResponse(200, boost::json::serialize(reply)));
}

void FakePlatform::appendRecord(const std::string &name, Stream &log, std::string id, std::string data)
{
    log.records.push_back({log.nextOffset++, nowMilliseconds(), std::move(id), std::move(data)});
    ++(name == LogRecords::keyStream ? m_keyRecordCount : m_configurationRecordCount);
}

void FakePlatform::publish(const std::string &path, const std::string &text)
{
    Stream &log = m_streams[LogRecords::configurationStream];
    std::uint64_t &version = m_subtreeVersions[ConfigurationDocument::subtree(path)];
    const ConfigurationRecord record{"publish." + std::to_string(log.nextOffset), path, version, text, "test"};
    version = log.nextOffset + 1;
    appendRecord(LogRecords::configurationStream, log, record.id, LogRecords::write(record));
    wakeReaders(log);
}

void FakePlatform::removeExpired(Stream &log, std::int64_t nowMs)
{
    const std::int64_t retentionMs = std::chrono::duration_cast<std::chrono::milliseconds>(retention).count();
    while (!log.records.empty() && log.records.front().timeMs + retentionMs < nowMs) {
        log.records.pop_front();
    }
}

Asio::awaitable<bool> FakePlatform::read(FakeServer::Socket &socket, const std::string &name, std::uint64_t from,
                                         std::chrono::milliseconds wait)
{
    Stream &log = m_streams[name];
    if (from >= log.nextOffset && wait.count() > 0) {
        Asio::steady_timer timer(m_strand, wait);
        log.readers.insert(&timer);
        co_await timer.async_wait(Asio::as_tuple(Asio::use_awaitable));
        log.readers.erase(&timer);
    }
    if (m_outage) {
        co_return false;
    }
    removeExpired(log, nowMilliseconds());
    boost::json::array records;
    std::uint64_t next = from;
    for (const Record &it : log.records) {
        if (it.offset >= from && records.size() < maxRecordsPerRead) {
            records.push_back(boost::json::object{{"offset", it.offset}, {"time_ms", it.timeMs}, {"id", it.id}, {"data", it.data}});
            next = it.offset + 1;
        }
    }
    const std::uint64_t oldest = log.records.empty() ? log.nextOffset : log.records.front().offset;
    const boost::json::object reply{{"records", std::move(records)}, {"next", std::max(next, oldest)}, {"oldest", oldest}};
    co_return co_await FakeServer::send(socket, FakeServer::jsonResponse(200, boost::json::serialize(reply)));
}

} // namespace Guavalock
