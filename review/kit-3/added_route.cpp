// A configuration adds a route whose host name has capitals.
//
// Usage: added_route RECORD
#include "standins.h"

using namespace Review;

namespace
{

constexpr int checkMs = 10'000; ///< Above config_apply_ms, max_skew_ms and contact_ms together.
constexpr int requestCount = 40; ///< On each route.

std::string route(const std::string &name, const std::string &host)
{
    return "{\"name\":\"" + name + "\",\"hostname\":\"" + host
        + "\",\"path_prefix\":\"/book/\",\"type\":\"non_idempotent\",\"timeout_ms\":1500,\"target_latency_ms\":150,\"priority\":2,"
          "\"service\":\"order-desk\",\"max_attempts\":1,\"public\":true}";
}

std::string configuration(int version, const std::string &routes)
{
    return "{\"version\":" + std::to_string(version) + ",\"routes\":[" + routes
        + "],\"services\":[{\"name\":\"order-desk\",\"health_path\":\"/healthz\",\"max_connections\":96,\"protocol\":\"h1\",\"tls\":false,"
          "\"cold_start_s\":0.0,\"cold_per_s\":0.0}],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
          "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";
}

bool serveEngine(const std::string &engineId, Stream &stream, const Message &request)
{
    const std::string id = request.header("X-Guavalock-Attempt-Id");
    const std::string echo = "X-Guavalock-Attempt-Id: " + id + "\r\n";
    if (request.header("X-Guavalock-Expect-Instance") != engineId) {
        return stream.send(response(421, echo + "X-Guavalock-Instance-Id: " + engineId + "\r\n", ""));
    }
    sleepFor(30);
    return stream.send(response(200, echo + "X-Guavalock-Server-Signature: s." + id + "\r\n", "booked " + id));
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 2) {
        return 2;
    }
    std::signal(SIGPIPE, SIG_IGN);
    Record record(argv[1]);
    const std::string addedHost = hasTrouble() ? "Peliyagoda.example" : "peliyagoda.example";
    const std::string firstHost = "desk.example";
    const TemporaryFolder folder;
    Store store(freeAddress(loopbackIp(2)));
    store.start();
    store.put("keyed.op", "config", configuration(7, route("r-first", firstHost)));
    std::vector<std::unique_ptr<EngineEntry>> entries;
    std::vector<std::unique_ptr<Server>> engines;
    for (int it = 1; it <= 4; ++it) {
        const std::string id = "i-0000000" + std::to_string(it);
        const Address address = freeAddress(loopbackIp(100 + it));
        engines.push_back(
            std::make_unique<Server>(address, [id](Stream &stream, const Message &request) { return serveEngine(id, stream, request); }));
        engines.back()->start();
        entries.push_back(std::make_unique<EngineEntry>(store, id, "order-desk", address, "peliyagoda", 6));
        entries.back()->begin(0);
    }
    auto daemons = startDaemons(3, store, folder.path());
    if (!awaitReady(daemons, 15'000)) {
        record.line("the daemons did not become ready");
        return 2;
    }
    sleepFor(3'000);
    store.put("keyed.op", "config", configuration(12, route("r-first", firstHost) + ',' + route("r-added", addedHost)));
    record.line("version 12 is acknowledged: it adds a route of host " + addedHost);
    sleepFor(checkMs);
    int served = 0;
    int servedAdded = 0;
    int denied = 0;
    for (int number = 0; number < requestCount; ++number) {
        for (const std::string &host : {firstHost, addedHost}) {
            ClientRequest request;
            request.method = "POST";
            request.host = host;
            request.path = "/book/coil";
            request.body = "ten coils";
            request.deadlineMs = 1'500;
            const Daemon &daemon = *daemons[static_cast<std::size_t>(number) % daemons.size()];
            const Answer answer = ask(daemon.frontend(), request);
            record.line(daemon.name() + ", Host: " + host + ": answered " + std::to_string(answer.status), answer.sent);
            const bool isServed = answer.complete && answer.status == 200;
            (host == firstHost ? served : servedAdded) += isServed ? 1 : 0;
            denied += answer.status == 404 ? 1 : 0;
        }
        sleepFor(50);
    }
    record.line("served " + std::to_string(served) + " of " + std::to_string(requestCount) + " on the first route and "
                + std::to_string(servedAdded) + " of " + std::to_string(requestCount) + " on the added one; " + std::to_string(denied)
                + " answered 404");
    std::printf("first route %d of %d, added route %d of %d, 404: %d\n", served, requestCount, servedAdded, requestCount, denied);
    return 4 * servedAdded < served ? 1 : 0;
}
