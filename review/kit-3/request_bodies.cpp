// A burst of clients whose request bodies are within the configured limit.
//
// Usage: request_bodies RECORD
#include "standins.h"

using namespace Review;

namespace
{

constexpr std::size_t memoryMb = 260;
constexpr std::size_t bodyBytes = 4'000'000; ///< The configuration allows 4,194,304.
constexpr int usualClients = 20; ///< Each sends one request after the other on a kept connection.
constexpr int burstClients = 32; ///< Further clients during the burst, 2.6 times the usual number in all.
constexpr int firstEventMs = 1'700;
constexpr int events = 6;
constexpr int eventGapMs = 100;
constexpr int deadlineMs = 6'000;

std::mutex passedMutex;
std::set<std::string> passedOn; ///< Ids of the requests that engines have received whole.

/// A model engine that streams its answers.
bool serveEngine(const std::string &engineId, Stream &stream, const Message &request)
{
    const std::string id = request.header("X-Guavalock-Attempt-Id");
    if (request.header("X-Guavalock-Expect-Instance") != engineId) {
        return stream.send(response(421, "X-Guavalock-Instance-Id: " + engineId + "\r\n", ""));
    }
    {
        const std::scoped_lock lock(passedMutex);
        passedOn.insert(id);
    }
    sleepFor(firstEventMs);
    if (!stream.send("HTTP/1.1 200 OK\r\nX-Guavalock-Attempt-Id: " + id + "\r\nX-Guavalock-Server-Signature: s." + id
                     + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")) {
        return false;
    }
    for (int it = 1; it <= events; ++it) {
        const std::string event = "id: " + std::to_string(it) + "\ndata: piece of " + id + "\n\n";
        char size[16];
        std::snprintf(size, sizeof size, "%zx\r\n", event.size());
        if (!stream.send(size + event + "\r\n")) {
            return false;
        }
        sleepFor(eventGapMs);
    }
    return stream.send("0\r\n\r\n");
}

struct Counts {
    std::atomic<int> complete{0};
    std::atomic<int> refused{0};
    std::atomic<int> cutBeforeAnswer{0}; ///< Passed on from a kept connection, which ended without a byte of an answer.
    std::atomic<int> cutLater{0}; ///< The same with a part of the answer.
    std::atomic<int> other{0};
};

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
    store.put("keyed.op", "config",
              "{\"version\":7,\"routes\":[{\"name\":\"r\",\"hostname\":\"quote.example\",\"path_prefix\":\"/quote/\",\"type\":\"streaming\","
              "\"timeout_ms\":6000,\"target_latency_ms\":1800,\"priority\":1,\"service\":\"band-model\",\"max_attempts\":1,\"public\":true,"
              "\"session_affinity\":true,\"resumable\":false,\"gap_target_ms\":200}],\"services\":[{\"name\":\"band-model\","
              "\"health_path\":\"/healthz\",\"max_connections\":360,\"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":3.0,\"cold_per_s\":11.0,"
              "\"engine_id\":{\"capacity\":64,\"kv_capacity\":367584}}],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
              "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}");
    std::vector<std::unique_ptr<EngineEntry>> entries;
    std::vector<std::unique_ptr<Server>> engines;
    for (int it = 1; it <= 4; ++it) {
        const std::string id = "i-0000000" + std::to_string(it);
        const Address address = freeAddress(loopbackIp(100 + it));
        engines.push_back(std::make_unique<Server>(
            address, [id](Stream &stream, const Message &request) { return serveEngine(id, stream, request); }));
        engines.back()->start();
        entries.push_back(std::make_unique<EngineEntry>(store, id, "band-model", address, "peliyagoda", 64));
        entries.back()->begin(0);
    }
    auto daemons = startDaemons(2, store, folder.path());
    if (!awaitReady(daemons, 15'000)) {
        record.line("the daemons did not become ready");
        return 2;
    }
    sleepFor(3'000);

    const MemoryLimit memory(memoryMb, record);
    Counts counts;
    const std::string body(bodyBytes, 'x');
    const Address address = daemons.front()->frontend();
    const auto client = [&](TimePoint until) {
        std::unique_ptr<Stream> stream;
        unsigned uses = 0;
        while (Clock::now() < until) {
            if (!stream) {
                stream = Stream::connect(address, 1'000);
                uses = 0;
                if (!stream) {
                    sleepFor(200);
                    continue;
                }
            }
            const std::string id = randomId();
            Message answer;
            stream->setDeadline(Clock::now() + Milliseconds(deadlineMs));
            const bool sent
                = stream->send("POST /quote/draft HTTP/1.1\r\nHost: quote.example\r\nX-Guavalock-Attempt-Id: " + id
                               + "\r\nX-Guavalock-Model-Id: m\r\nX-Guavalock-Token-Usage: 2890,80\r\nX-Guavalock-Prefix-Hash: 5c1e07a2:800,"
                               + id.substr(0, 8) + ":2090\r\nX-Guavalock-Deadline-Ms: " + std::to_string(deadlineMs)
                               + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
            const bool hasHead = sent && stream->readHead(answer);
            const bool complete = hasHead && stream->readBody(answer);
            bool passed = false;
            {
                const std::scoped_lock lock(passedMutex);
                passed = passedOn.contains(id);
            }
            std::string end = "complete";
            if (complete) {
                ++(answer.status() == 200 ? counts.complete : counts.refused);
                end = "answered " + std::to_string(answer.status());
            } else if (passed && uses > 0 && !stream->timedOut()) {
                ++(hasHead ? counts.cutLater : counts.cutBeforeAnswer);
                end = hasHead ? "connection ends within the answer" : "connection ends without an answer, though the request was passed on";
            } else {
                ++counts.other;
                end = stream->timedOut() ? "no complete answer at the deadline" : "connection ends";
            }
            record.line(id + ' ' + end);
            ++uses;
            if (!complete || answer.header("Connection") == "close") {
                stream.reset();
                sleepFor(100);
            }
        }
    };
    record.line(std::to_string(usualClients) + " clients begin");
    const TimePoint start = Clock::now();
    std::vector<std::thread> clients;
    for (int it = 0; it < usualClients; ++it) {
        clients.emplace_back(client, start + std::chrono::seconds(20));
        sleepFor(115); // Their requests take 2.3 s and don't run in step.
    }
    std::this_thread::sleep_until(start + std::chrono::seconds(8));
    if (trouble) {
        record.line("burst: " + std::to_string(burstClients) + " further clients for 5.5 s");
        for (int it = 0; it < burstClients; ++it) {
            clients.emplace_back(client, start + Milliseconds(13'500));
            sleepFor(90);
        }
    }
    for (std::thread &it : clients) {
        it.join();
    }
    const int cut = counts.cutBeforeAnswer;
    record.line("peak memory of a daemon " + std::to_string(memory.peakMegabytes()) + " MB of " + std::to_string(memoryMb) + ", killed "
                + std::to_string(memory.kills()) + " times");
    record.line("complete " + std::to_string(counts.complete) + ", refused " + std::to_string(counts.refused) + ", kept connections cut without an answer "
                + std::to_string(cut) + " (3 are allowed), within it " + std::to_string(counts.cutLater) + ", other "
                + std::to_string(counts.other));
    std::printf("peak %zu MB, kills %d, complete %d, refused %d, cut without answer %d, cut later %d, other %d\n", memory.peakMegabytes(), memory.kills(),
                counts.complete.load(), counts.refused.load(), cut, counts.cutLater.load(), counts.other.load());
    return cut > 3 ? 1 : 0;
}
