#include "SiteFleet.h"

#include "FakeAddress.h"

#include "Kernel/Registry.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/buffers_to_string.hpp>
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
constexpr std::uint16_t firstTargetPort = 32'110;
constexpr std::uint16_t firstDaemonPort = 32'200; ///< Caller port; the next three ports serve readiness, peers and metrics.
constexpr std::uint16_t daemonStride = 10;
constexpr std::chrono::seconds waitTimeout{10};
constexpr std::chrono::milliseconds pollInterval{10};

std::uint16_t callerPort(std::size_t index)
{
    return static_cast<std::uint16_t>(firstDaemonPort + daemonStride * index);
}

void sleepForPollInterval()
{
    Asio::io_context context;
    Asio::steady_timer(context, pollInterval).wait();
}

} // namespace

SiteFleet::SiteFleet(std::size_t daemonCount)
    : m_daemonCount(daemonCount)
    , m_site(Registry<Site>::instance().create("platform"))
    , m_pool(1)
    , m_daemons(daemonCount)
{
    m_store = std::make_unique<FakeRecordStore>(Asio::make_strand(m_pool.executor()), storePort);
    const std::vector<std::pair<std::string, std::string>> names{{"plain-1", "plain"}, {"plain-2", "plain"}, {"model-1", "model"},
                                                                 {"model-2", "model"}, {"stage-1", "stage"}, {"stage-2", "stage"}};
    std::uint16_t port = firstTargetPort;
    for (const auto &[name, service] : names) {
        m_targetLocations[name] = {service, port, name.ends_with("1") ? "north" : "south"};
        m_targets[name] = std::make_unique<FakeFleetTarget>(Asio::make_strand(m_pool.executor()), port++, name);
    }
}

SiteFleet::~SiteFleet()
{
    m_daemons.clear();
    m_pool.stop();
}

void SiteFleet::setGracePeriod(std::chrono::milliseconds gracePeriod)
{
    m_gracePeriod = gracePeriod;
}

SiteSettings SiteFleet::settings(std::size_t index) const
{
    const std::uint16_t port = callerPort(index);
    SiteSettings settings;
    settings.self.vm = "vm-" + std::to_string(index);
    settings.self.dataCentre = index % 2 == 0 ? "north" : "south";
    settings.self.peerAddress = {FakeAddress::text(), static_cast<std::uint16_t>(port + 2)};
    settings.self.processorShare = 0.25;
    settings.callers = {FakeAddress::text(), port};
    settings.readiness = {FakeAddress::text(), static_cast<std::uint16_t>(port + 1)};
    settings.metrics = Endpoint{FakeAddress::text(), static_cast<std::uint16_t>(port + 3)};
    settings.store = {FakeAddress::text(), storePort};
    settings.seeds = {{FakeAddress::text(), static_cast<std::uint16_t>(callerPort(0) + 2)}};
    settings.gracePeriod = m_gracePeriod;
    settings.retryLimits = {0.2, 52, std::chrono::seconds(10)};
    settings.rolloutLimits = RolloutLimits{0.1, 50, std::chrono::seconds(5)};
    return settings;
}

void SiteFleet::configure(std::uint64_t version, const std::string &keys)
{
    configureOrganisations(version, R"([{"name":"mill","api_keys":[)" + keys + "]}]");
}

void SiteFleet::configureOrganisations(std::uint64_t version, const std::string &value)
{
    writeConfiguration(version, "", value);
}

void SiteFleet::configureRoutes(std::uint64_t version, const std::string &routes)
{
    writeConfiguration(version, "," + routes, R"([{"name":"mill","api_keys":["k1","k2"]}])");
}

void SiteFleet::writeConfiguration(std::uint64_t version, const std::string &routes, const std::string &organisations)
{
    // Clients send "Host: h": the case of a host name does not matter.
    const std::string text = R"({"version":)" + std::to_string(version) + R"(,"routes":[
        {"name":"safe","hostname":"H","path_prefix":"/safe/","type":"idempotent","timeout_ms":2000,"target_latency_ms":300,"service":"plain","max_attempts":2},
        {"name":"once","hostname":"h","path_prefix":"/once/","type":"non_idempotent","timeout_ms":2000,"target_latency_ms":300,"service":"plain","max_attempts":1},
        {"name":"stream","hostname":"H","path_prefix":"/stream/","type":"streaming","timeout_ms":4000,"target_latency_ms":1000,"service":"model","max_attempts":1,
         "session_affinity":true,"phases":[{"service":"stage","after":[],"byte_count":100},{"service":"stage","after":[0],"byte_count":100}]},
        {"name":"patient","hostname":"H","path_prefix":"/patient/","type":"streaming","timeout_ms":20000,"target_latency_ms":6000,"service":"model","max_attempts":1,
         "phases":[{"service":"stage","after":[],"byte_count":100},{"service":"stage","after":[0],"byte_count":100}]},
        {"name":"brisk","hostname":"H","path_prefix":"/brisk-stream/","type":"streaming","timeout_ms":20000,"target_latency_ms":300,"service":"model","max_attempts":1},
        {"name":"lasting","hostname":"H","path_prefix":"/lasting-stream/","type":"streaming","timeout_ms":20000,"target_latency_ms":12000,"service":"model","max_attempts":2,"resumable":true},
        {"name":"resume","hostname":"H","path_prefix":"/streamed/","type":"streaming","timeout_ms":4000,"target_latency_ms":1000,"service":"model","max_attempts":2,"resumable":true},
        {"name":"resume-twice","hostname":"H","path_prefix":"/streamed-twice/","type":"streaming","timeout_ms":4000,"target_latency_ms":1000,"service":"model","max_attempts":3,"resumable":true})"
        + routes + R"(],
        "services":[{"name":"plain","max_connections":8},{"name":"model","engine_id":{"capacity":64,"kv_capacity":400000}},{"name":"stage","fragments":{"capacity":1,"queue":2,"batch":8,"call_ms":30,"item_ms":1,"headroom_mb":1,"handle_s":4}}])"
        + (organisations.empty() ? "" : ",\"tenants\":" + organisations) + "}";
    m_store->put("keyed.op", "config", text);
}

void SiteFleet::writeTarget(const std::string &name, const std::string &state, const std::string &version)
{
    const TargetLocation &location = m_targetLocations.at(name);
    const boost::json::object entry{{"service", location.service}, {"address", FakeAddress::text() + ":" + std::to_string(location.port)},
                                    {"zone", location.dataCentre}, {"state", state},
                                    {"version", version},          {"capacity", 64},
                                    {"cold_remaining_ms", 0},      {"born", 1},
                                    {"sequence", ++m_lastSequence}};
    m_store->put("keyed.servers", name, boost::json::serialize(entry));
}

void SiteFleet::removeTarget(const std::string &name)
{
    m_store->put("keyed.servers", name, "");
}

void SiteFleet::start(const std::set<std::string> &targetsWithoutRecord)
{
    m_store->start();
    configure(1, R"("k1","k2")");
    for (const auto &[name, target] : m_targets) {
        target->start();
        if (!targetsWithoutRecord.contains(name)) {
            writeTarget(name, "ready");
        }
    }
    for (std::size_t it = 0; it < m_daemonCount; ++it) {
        startDaemon(it);
    }
    waitFor([this] {
        bool allReady = true;
        for (std::size_t it = 0; it < m_daemonCount; ++it) {
            allReady = allReady && isReady(it);
        }
        return allReady;
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

bool SiteFleet::isReady(std::size_t index) const
{
    Request request;
    request.method = "GET";
    request.path = "/readyz";
    return exchange(static_cast<std::uint16_t>(callerPort(index) + 1), request).status == 200;
}

std::size_t SiteFleet::counter(std::size_t daemon, const std::string &name) const
{
    Request request;
    request.method = "GET";
    request.path = "/metrics";
    const std::string text = exchange(static_cast<std::uint16_t>(callerPort(daemon) + 3), request).body;
    const std::string field = "guavalock_" + name + " ";
    const std::size_t at = text.find(field);
    return at == std::string::npos ? 0 : std::stoul(text.substr(at + field.size()));
}

SiteFleet::Request SiteFleet::makeRequest(const std::string &path, const std::string &id)
{
    Request request;
    request.path = path;
    request.attemptId = id;
    request.body = "body of " + id;
    return request;
}

SiteFleet::Response SiteFleet::send(std::size_t daemon, const Request &request) const
{
    return exchange(callerPort(daemon), request);
}

SiteFleet::HttpRequest SiteFleet::makeHttpRequest(const Request &request)
{
    HttpRequest message(Http::string_to_verb(request.method), request.path, 11);
    message.set(Http::field::host, "h");
    message.set("X-Guavalock-Attempt-Id", request.attemptId);
    message.set("Api-Key", request.apiKey);
    for (const auto &[name, value] : request.headers) {
        message.set(name, value);
    }
    message.body() = request.body;
    message.prepare_payload();
    return message;
}

void SiteFleet::sendAndDisconnect(std::size_t daemon, const Request &request, std::chrono::milliseconds delay)
{
    Asio::io_context context;
    Asio::ip::tcp::socket socket(context);
    socket.connect({Asio::ip::make_address(FakeAddress::text()), callerPort(daemon)});
    Http::write(socket, makeHttpRequest(request));
    Asio::steady_timer(context, delay).wait();
}

std::vector<SiteFleet::Response> SiteFleet::sendOnOneConnection(std::size_t daemon, const std::vector<Request> &requests) const
{
    Asio::io_context context;
    Asio::ip::tcp::socket socket(context);
    socket.connect({Asio::ip::make_address(FakeAddress::text()), callerPort(daemon)});
    std::vector<Response> responses;
    for (const Request &it : requests) {
        boost::system::error_code ec;
        Http::write(socket, makeHttpRequest(it), ec);
        responses.push_back(ec ? Response() : readResponse(socket));
        if (!responses.back().complete || !responses.back().keepsConnection) {
            break;
        }
    }
    return responses;
}

SiteFleet::Response SiteFleet::sendBytes(std::size_t daemon, const std::string &bytes) const
{
    Asio::io_context context;
    Asio::ip::tcp::socket socket(context);
    socket.connect({Asio::ip::make_address(FakeAddress::text()), callerPort(daemon)});
    Asio::write(socket, Asio::buffer(bytes));
    return readResponse(socket);
}

SiteFleet::Response SiteFleet::exchange(std::uint16_t port, const Request &request)
{
    Asio::io_context context;
    Asio::ip::tcp::socket socket(context);
    boost::system::error_code ec;
    socket.connect({Asio::ip::make_address(FakeAddress::text()), port}, ec);
    const HttpRequest message = makeHttpRequest(request);
    Http::request_serializer<Http::string_body> serializer(message);
    if (!ec) {
        Http::write_header(socket, serializer, ec);
        Asio::steady_timer(context, request.bodyDelay).wait();
    }
    if (!ec) {
        Http::write(socket, serializer, ec);
    }
    return ec ? Response() : readResponse(socket);
}

SiteFleet::Response SiteFleet::readResponse(Asio::ip::tcp::socket &socket)
{
    Response response;
    boost::system::error_code ec;
    boost::beast::flat_buffer buffer;
    Http::response_parser<Http::string_body> parser;
    Http::read(socket, buffer, parser, ec);
    response.complete = !ec;
    response.excess = boost::beast::buffers_to_string(buffer.data());
    if (parser.is_header_done()) {
        response.status = parser.get().result_int();
        response.body = parser.get().body();
        response.retryAfter = std::string(parser.get()[Http::field::retry_after]);
        response.keepsConnection = parser.keep_alive();
        response.isSigned = !parser.get()["X-Guavalock-Server-Signature"].empty();
    }
    return response;
}

bool SiteFleet::waitFor(const std::function<bool()> &condition)
{
    const auto deadline = std::chrono::steady_clock::now() + waitTimeout;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > deadline) {
            return false;
        }
        sleepForPollInterval();
    }
    return true;
}

std::size_t SiteFleet::executionCount(const std::string &id) const
{
    std::size_t total = 0;
    for (const auto &[name, target] : m_targets) {
        const auto executions = target->runs();
        total += executions.contains(id) ? executions.at(id) : 0;
    }
    return total;
}

Endpoint SiteFleet::callers(std::size_t index) const
{
    return settings(index).callers;
}

Endpoint SiteFleet::readiness(std::size_t index) const
{
    return settings(index).readiness;
}

Endpoint SiteFleet::metrics(std::size_t index) const
{
    return *settings(index).metrics;
}

std::size_t SiteFleet::endlessBytes() const
{
    std::size_t total = 0;
    for (const auto &[name, target] : m_targets) {
        total += target->endlessBytes();
    }
    return total;
}

std::chrono::steady_clock::duration SiteFleet::endlessDuration() const
{
    std::chrono::steady_clock::duration longest{};
    for (const auto &[name, target] : m_targets) {
        longest = std::max(longest, target->endlessDuration());
    }
    return longest;
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
