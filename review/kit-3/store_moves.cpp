// The settings files name a new address of the platform's store.
//
// Usage: store_moves RECORD
#include "standins.h"

using namespace Review;

namespace
{

constexpr int overlapMs = 5'000; ///< For so long after the files have changed, the store serves at both addresses.
constexpr int checkMs = 14'000; ///< Above config_apply_ms, max_skew_ms and contact_ms together.
const std::string keptKey = "9dnn2ctnfzs989anu6ws";
const std::string withdrawnKey = "jnbanfqasnmgkcuyj8pj";

std::string configuration(int version, const std::string &keys, const std::string &service)
{
    return "{\"version\":" + std::to_string(version)
        + ",\"routes\":[{\"name\":\"r\",\"hostname\":\"desk.example\",\"path_prefix\":\"/book/"
          "\",\"type\":\"non_idempotent\",\"timeout_ms\":1500,"
          "\"target_latency_ms\":150,\"priority\":2,\"service\":\""
        + service
        + "\",\"max_attempts\":1,\"public\":false}],"
          "\"services\":[{\"name\":\"order-desk\",\"health_path\":\"/healthz\",\"max_connections\":96,\"protocol\":\"h1\",\"tls\":false,"
          "\"cold_start_s\":0.0,\"cold_per_s\":0.0},{\"name\":\"new-desk\",\"health_path\":\"/healthz\",\"max_connections\":96,"
          "\"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":0.0,\"cold_per_s\":0.0}],\"limits\":{\"max_header_bytes\":16384,"
          "\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},\"tenants\":[{\"name\":\"bozi300\",\"api_"
          "keys\":["
        + keys + "]}]}";
}

std::mutex runsMutex;
std::map<std::string, std::string> runs; ///< The service that ran each request.

bool serveEngine(const std::string &engineId, const std::string &service, Stream &stream, const Message &request)
{
    const std::string id = request.header("X-Guavalock-Attempt-Id");
    const std::string echo = "X-Guavalock-Attempt-Id: " + id + "\r\n";
    if (request.header("X-Guavalock-Expect-Instance") != engineId) {
        return stream.send(response(421, echo + "X-Guavalock-Instance-Id: " + engineId + "\r\n", ""));
    }
    {
        const std::scoped_lock lock(runsMutex);
        runs[id] = service;
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
    const bool trouble = hasTrouble();
    const TemporaryFolder folder;
    Store store(freeAddress(loopbackIp(2)));
    store.start();
    store.put("keyed.op", "config", configuration(7, '"' + keptKey + "\",\"" + withdrawnKey + '"', "order-desk"));
    std::vector<std::unique_ptr<EngineEntry>> entries;
    std::vector<std::unique_ptr<Server>> engines;
    for (int it = 1; it <= 4; ++it) {
        const std::string id = "i-0000000" + std::to_string(it);
        const std::string service = it <= 2 ? "order-desk" : "new-desk";
        const Address address = freeAddress(loopbackIp(100 + it));
        engines.push_back(std::make_unique<Server>(
            address, [id, service](Stream &stream, const Message &request) { return serveEngine(id, service, stream, request); }));
        engines.back()->start();
        entries.push_back(std::make_unique<EngineEntry>(store, id, service, address, "peliyagoda", 6));
        entries.back()->begin(0);
    }
    auto daemons = startDaemons(3, store, folder.path());
    if (!awaitReady(daemons, 15'000)) {
        record.line("the daemons did not become ready");
        return 2;
    }
    sleepFor(3'000);
    const auto book = [&](const Daemon &daemon, const std::string &key) {
        ClientRequest request;
        request.method = "POST";
        request.host = "desk.example";
        request.path = "/book/coil";
        request.headers = "Api-Key: " + key + "\r\n";
        request.body = "ten coils";
        request.deadlineMs = 1'500;
        const Answer answer = ask(daemon.frontend(), request);
        std::string service = "no engine";
        {
            const std::scoped_lock lock(runsMutex);
            service = runs.contains(request.id) ? runs[request.id] : service;
        }
        record.line(daemon.name() + ", " + (key == keptKey ? "kept" : "withdrawn") + " key: answered " + std::to_string(answer.status)
                        + ", run by " + service,
                    answer.sent);
        return service;
    };
    for (const auto &it : daemons) {
        if (book(*it, keptKey) != "order-desk" || book(*it, withdrawnKey) != "order-desk") {
            record.line("a booking fails before the change");
            return 2;
        }
    }
    if (trouble) {
        const Address moved = freeAddress(loopbackIp(3));
        store.startAlsoAt(moved);
        for (const auto &it : daemons) {
            it->writeSettings(moved);
        }
        // A third of the machines get a signal. The files of the others change without one.
        daemons.front()->signal(SIGHUP);
        record.line("the settings name the store at " + moved.text() + "; SIGHUP to " + daemons.front()->name());
        sleepFor(overlapMs);
        store.stopFirst();
        record.line("nothing listens at the former address any more");
    }
    sleepFor(5'000);
    store.put("keyed.op", "config", configuration(12, '"' + keptKey + '"', "new-desk"));
    record.line("version 12 is acknowledged: it withdraws a key and moves the route to another service");
    sleepFor(checkMs);
    int late = 0;
    int old = 0;
    int asked = 0;
    for (int round = 0; round < 5; ++round) {
        for (const auto &it : daemons) {
            ++asked;
            late += book(*it, withdrawnKey) == "no engine" ? 0 : 1;
            old += book(*it, keptKey) == "order-desk" ? 1 : 0;
        }
        sleepFor(300);
    }
    record.line(std::to_string(late) + " of " + std::to_string(asked) + " bookings with the withdrawn key ran; " + std::to_string(old)
                + " of " + std::to_string(asked) + " with the kept key were run by the former service");
    std::printf("withdrawn key: %d of %d ran; former service: %d of %d\n", late, asked, old, asked);
    return late > 0 || old > 0 ? 1 : 0;
}
