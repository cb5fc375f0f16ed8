#include "FakeRecordStore.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/endian/conversion.hpp>
#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <openssl/evp.h>

namespace Guavalock
{

namespace Asio = boost::asio;
namespace Http = boost::beast::http;

namespace
{

constexpr std::chrono::milliseconds readPollInterval{10};
constexpr std::size_t lengthPrefixBytes = 4;

std::string queryParameter(const std::string &target, const std::string &name)
{
    const std::size_t at = target.find(name + '=');
    if (at == std::string::npos) {
        return {};
    }
    const std::size_t valueBegin = at + name.size() + 1;
    return target.substr(valueBegin, target.find('&', valueBegin) - valueBegin);
}

std::string base64(const std::string &text)
{
    std::string out((text.size() + 2) / 3 * 4, '\0');
    EVP_EncodeBlock(reinterpret_cast<unsigned char *>(out.data()), reinterpret_cast<const unsigned char *>(text.data()),
                    static_cast<int>(text.size()));
    return out;
}

template <class Number>
std::string bigEndian(Number number)
{
    std::string out(sizeof number, '\0');
    boost::endian::endian_store<Number, sizeof(Number), boost::endian::order::big>(reinterpret_cast<unsigned char *>(out.data()), number);
    return out;
}

} // namespace

FakeRecordStore::FakeRecordStore(const Asio::any_io_executor &strand, std::uint16_t port)
    : m_server(strand, port, [this](FakeServer::Socket &socket, FakeServer::Request request) { return handle(socket, std::move(request)); })
{
}

void FakeRecordStore::start()
{
    Asio::post(m_server.strand(), [this] { m_server.listen(); });
}

void FakeRecordStore::append(Topic &topic, const std::string &key, const std::string &value)
{
    const std::string content = std::string(1, static_cast<char>(key.size())) + key + value;
    topic.records.push_back(bigEndian(static_cast<std::uint32_t>(content.size())) + content);
    const std::uint64_t offset = topic.firstOffset + topic.records.size() - 1;
    if (value.empty()) {
        topic.latestByKey.erase(key);
    } else {
        topic.latestByKey[key] = {offset, value};
    }
}

void FakeRecordStore::put(const std::string &topic, const std::string &key, const std::string &value)
{
    Asio::post(m_server.strand(), [this, topic, key, value] { append(m_topics[topic], key, value); });
}

void FakeRecordStore::setOutage(bool outage)
{
    m_outage = outage;
}

void FakeRecordStore::forget()
{
    Asio::post(m_server.strand(), [this] {
        for (auto &[name, topic] : m_topics) {
            topic.firstOffset += topic.records.size();
            topic.records.clear();
        }
    });
}

void FakeRecordStore::saveCopy()
{
    Asio::post(m_server.strand(), [this] { m_copy = m_topics; });
}

void FakeRecordStore::restoreCopy()
{
    Asio::post(m_server.strand(), [this] {
        m_topics = m_copy;
        ++m_era;
    });
}

FakeServer::Response FakeRecordStore::withEra(FakeServer::Response response) const
{
    response.set("Store-Era", std::to_string(m_era));
    return response;
}

std::string FakeRecordStore::latest(const std::string &topic, const std::string &key)
{
    return Asio::post(m_server.strand(), Asio::use_future([this, topic, key] {
                          const auto &latest = m_topics[topic].latestByKey;
                          const auto it = latest.find(key);
                          return it == latest.end() ? std::string() : it->second.second;
                      }))
        .get();
}

void FakeRecordStore::loseResponses(std::size_t count)
{
    m_lostResponses = count;
}

std::size_t FakeRecordStore::calls() const
{
    return m_calls;
}

Asio::awaitable<bool> FakeRecordStore::handle(FakeServer::Socket &socket, FakeServer::Request request)
{
    ++m_calls;
    if (m_outage) {
        co_return false;
    }
    const std::string target(request.target());
    Topic &topic = m_topics[queryParameter(target, "topic")];
    if (target.starts_with("/log-read")) {
        co_return co_await read(socket, topic, target);
    }
    if (target.starts_with("/log-newest")) {
        co_return co_await readLatest(socket, topic);
    }
    const std::uint64_t end = topic.firstOffset + topic.records.size();
    if (target.find("&at=") != std::string::npos && queryParameter(target, "at") != std::to_string(end)) {
        co_return co_await FakeServer::send(socket, withEra(FakeServer::jsonResponse(412, "{}")));
    }
    const std::string &body = request.body();
    const std::size_t keyBytes = static_cast<unsigned char>(body.at(lengthPrefixBytes));
    append(topic, body.substr(lengthPrefixBytes + 1, keyBytes), body.substr(lengthPrefixBytes + 1 + keyBytes));
    if (target.find("&at=") != std::string::npos && m_lostResponses > 0) {
        --m_lostResponses;
        co_return false;
    }
    co_return co_await FakeServer::send(socket, withEra(FakeServer::jsonResponse(200, "{}")));
}

Asio::awaitable<bool> FakeRecordStore::readLatest(FakeServer::Socket &socket, const Topic &topic)
{
    boost::json::array entries;
    for (const auto &[key, record] : topic.latestByKey) {
        boost::json::object entry;
        entry["key"] = key;
        entry["offset"] = record.first;
        entry["data"] = base64(record.second);
        entries.push_back(std::move(entry));
    }
    const std::uint64_t end = topic.firstOffset + topic.records.size();
    boost::json::object reply;
    reply["entries"] = std::move(entries);
    reply["has_more"] = false;
    reply["end_offset"] = end;
    FakeServer::Response response = withEra(FakeServer::jsonResponse(200, boost::json::serialize(reply)));
    co_return co_await FakeServer::send(socket, std::move(response));
}

Asio::awaitable<bool> FakeRecordStore::read(FakeServer::Socket &socket, Topic &topic, const std::string &target)
{
    const std::uint64_t from = std::stoull(queryParameter(target, "from"));
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::milliseconds(std::stoull(queryParameter(target, "wait_ms")));
    Asio::steady_timer timer(m_server.strand());
    while (from == topic.firstOffset + topic.records.size() && std::chrono::steady_clock::now() < deadline && !m_outage) {
        timer.expires_after(readPollInterval);
        co_await timer.async_wait(Asio::as_tuple(Asio::use_awaitable));
    }
    if (m_outage) {
        co_return false;
    }
    if (from < topic.firstOffset || from > topic.firstOffset + topic.records.size()) {
        co_return co_await FakeServer::send(socket, withEra(FakeServer::jsonResponse(410, "{}")));
    }
    std::string body = bigEndian(std::uint64_t(topic.firstOffset + topic.records.size())) + bigEndian(topic.firstOffset);
    for (std::size_t it = from - topic.firstOffset; it < topic.records.size(); ++it) {
        body += topic.records[it];
    }
    FakeServer::Response response = withEra(FakeServer::jsonResponse(200, std::move(body)));
    response.set(Http::field::content_type, "application/octet-stream");
    co_return co_await FakeServer::send(socket, std::move(response));
}

} // namespace Guavalock
