#include "SiteFleet.h"

#include "Kernel/Registry.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace Guavalock
{

namespace Asio = boost::asio;
namespace Http = boost::beast::http;

namespace
{

constexpr std::uint16_t storePort = 32'100;
constexpr std::uint16_t targetPort = 32'110;
constexpr std::uint16_t daemonPort = 32'200; ///< Callers; readiness and peers follow.
constexpr std::uint16_t daemonStride = 10;
constexpr std::chrono::seconds longest{10};
constexpr std::chrono::milliseconds step{10};

std::uint16_t callersPort(std::size_t index)
{
    return static_cast<std::uint16_t>(daemonPort + daemonStride * index);
}

void pause()
{
    Asio::io_context context;
    Asio::steady_timer(context, step).wait();
}

} // namespace

SiteFleet::SiteFleet(std::size_t daemons)
    : m_count(daemons)
    , m_site(Registry<Site>::instance().create("platform"))
    , m_pool(1)
    , m_daemons(daemons)
{
    m_store = std::make_unique<FakeRecordStore>(Asio::make_strand(m_pool.executor()), storePort);
    const std::vector<std::pair<std::string, std::string>> names{{"plain-1", "plain"}, {"plain-2", "plain"}, {"model-1", "model"},
                                                                 {"model-2", "model"}, {"stage-1", "stage"}, {"stage-2", "stage"}};
    std::uint16_t port = targetPort;
    for (const auto &[name, service] : names) {
        m_places[name] = {service, port, name.ends_with("1") ? "north" : "south"};
        m_targets[name] = std::make_unique<FakeFleetTarget>(Asio::make_strand(m_pool.executor()), port++, name);
    }
}

SiteFleet::~SiteFleet()
{
    m_daemons.clear();
    m_pool.stop();
}

SiteSettings SiteFleet::settings(std::size_t index) const
{
    const std::uint16_t port = callersPort(index);
    SiteSettings settings;
    settings.self.vm = "vm-" + std::to_string(index);
    settings.self.dataCentre = index % 2 == 0 ? "north" : "south";
    settings.self.peerAddress = {"127.0.0.1", static_cast<std::uint16_t>(port + 2)};
    settings.self.processorShare = 0.25;
    settings.callers = {"127.0.0.1", port};
    settings.readiness = {"127.0.0.1", static_cast<std::uint16_t>(port + 1)};
    settings.store = {"127.0.0.1", storePort};
    settings.seeds = {{"127.0.0.1", static_cast<std::uint16_t>(callersPort(0) + 2)}};
    settings.gracePeriod = std::chrono::seconds(4);
    settings.retryLimits = {0.2, 52, std::chrono::seconds(10)};
    return settings;
}

void SiteFleet::configure(std::uint64_t version, const std::string &keys)
{
    const std::string text = R"({"version":)" + std::to_string(version) + R"(,"routes":[
        {"name":"safe","hostname":"h","path_prefix":"/safe/","type":"idempotent","timeout_ms":2000,"target_latency_ms":300,"service":"plain","max_attempts":2},
        {"name":"once","hostname":"h","path_prefix":"/once/","type":"non_idempotent","timeout_ms":2000,"target_latency_ms":300,"service":"plain","max_attempts":1},
        {"name":"stream","hostname":"h","path_prefix":"/stream/","type":"streaming","timeout_ms":4000,"target_latency_ms":1000,"service":"model","max_attempts":1,
         "session_affinity":true,"phases":[{"service":"stage","after":[],"byte_count":100},{"service":"stage","after":[0],"byte_count":100}]},
        {"name":"resume","hostname":"h","path_prefix":"/streamed/","type":"streaming","timeout_ms":4000,"target_latency_ms":1000,"service":"model","max_attempts":2,"resumable":true}],
        "services":[{"name":"plain","max_connections":8},{"name":"model"},{"name":"stage","fragments":{"capacity":1,"queue":2,"batch":8,"call_ms":30,"item_ms":1,"headroom_mb":1,"handle_s":4}}],
        "tenants":[{"name":"mill","api_keys":[)"
        + keys + "]}]}";
    m_store->put("keyed.op", "config", text);
}

void SiteFleet::writeTarget(const std::string &name, const std::string &state)
{
    const Place &place = m_places.at(name);
    const boost::json::object entry{{"service", place.service}, {"address", "127.0.0.1:" + std::to_string(place.port)},
                                    {"zone", place.dataCentre}, {"state", state},
                                    {"cold_remaining_ms", 0},   {"born", 1}};
    m_store->put("keyed.servers", name, boost::json::serialize(entry));
}

void SiteFleet::dropTarget(const std::string &name)
{
    m_store->put("keyed.servers", name, "");
}

void SiteFleet::start()
{
    m_store->start();
    configure(1, R"("k1","k2")");
    for (const auto &[name, target] : m_targets) {
        target->start();
        writeTarget(name, "ready");
    }
    for (std::size_t it = 0; it < m_count; ++it) {
        startDaemon(it);
    }
    await([this] {
        bool all = true;
        for (std::size_t it = 0; it < m_count; ++it) {
            all = all && ready(it);
        }
        return all;
    });
}

void SiteFleet::startDaemon(std::size_t index)
{
    m_daemons[index] = std::make_unique<SiteDaemon>(*m_site, settings(index));
    m_daemons[index]->start();
}

void SiteFleet::killDaemon(std::size_t index)
{
    m_daemons[index].reset();
}

bool SiteFleet::ready(std::size_t index) const
{
    Ask ask;
    ask.method = "GET";
    ask.path = "/readyz";
    return call(static_cast<std::uint16_t>(callersPort(index) + 1), ask).status == 200;
}

SiteFleet::Answer SiteFleet::ask(std::size_t daemon, const Ask &ask) const
{
    return call(callersPort(daemon), ask);
}

SiteFleet::Request SiteFleet::request(const Ask &ask)
{
    Request request(Http::string_to_verb(ask.method), ask.path, 11);
    request.set(Http::field::host, "h");
    request.set("X-Guavalock-Attempt-Id", ask.id);
    request.set("Api-Key", ask.key);
    for (const auto &[name, value] : ask.headers) {
        request.set(name, value);
    }
    request.body() = ask.body;
    request.prepare_payload();
    return request;
}

void SiteFleet::leave(std::size_t daemon, const Ask &ask, std::chrono::milliseconds after)
{
    Asio::io_context context;
    Asio::ip::tcp::socket socket(context);
    socket.connect({Asio::ip::address_v4::loopback(), callersPort(daemon)});
    Http::write(socket, request(ask));
    Asio::steady_timer(context, after).wait();
}

SiteFleet::Answer SiteFleet::call(std::uint16_t port, const Ask &ask)
{
    Answer answer;
    Asio::io_context context;
    Asio::ip::tcp::socket socket(context);
    boost::system::error_code ec;
    socket.connect({Asio::ip::address_v4::loopback(), port}, ec);
    if (!ec) {
        Http::write(socket, request(ask), ec);
    }
    boost::beast::flat_buffer buffer;
    Http::response_parser<Http::string_body> parser;
    if (!ec) {
        Http::read(socket, buffer, parser, ec);
    }
    answer.whole = !ec;
    if (parser.is_header_done()) {
        answer.status = parser.get().result_int();
        answer.body = parser.get().body();
        answer.retryAfter = std::string(parser.get()[Http::field::retry_after]);
        answer.isSigned = !parser.get()["X-Guavalock-Server-Signature"].empty();
    }
    return answer;
}

bool SiteFleet::await(const std::function<bool()> &holds)
{
    const auto end = std::chrono::steady_clock::now() + longest;
    while (!holds()) {
        if (std::chrono::steady_clock::now() > end) {
            return false;
        }
        pause();
    }
    return true;
}

FakeRecordStore &SiteFleet::store()
{
    return *m_store;
}

FakeFleetTarget &SiteFleet::target(const std::string &name)
{
    return *m_targets.at(name);
}

SiteDaemon &SiteFleet::daemon(std::size_t index)
{
    return *m_daemons.at(index);
}

} // namespace Guavalock
