// Daemons are stopped in turn while stage services are busy. Checks the inputs that stage engines are given.
//
// Usage: stage_inputs RECORD
#include "standins.h"

using namespace Review;

namespace
{

constexpr int callMs = 200;
constexpr int handleMs = 4'000;
constexpr int usualPerSecond = 22; ///< Requests at all daemons.
constexpr int burstFactorTenths = 26;
constexpr int stopGapMs = 2'000;
constexpr int roundCount = 3;
const std::vector<std::size_t> pieceCounts{2, 4}; ///< Of the two stages.

/// The results that stage engines have made. A result belongs to a piece of a request.
class Results
{
public:
    struct Origin {
        std::string request;
        int stage = 0;
        int index = 0;
    };

    std::string add(const Address &maker, const Origin &origin)
    {
        const std::scoped_lock lock(m_mutex);
        const std::string handle = maker.text() + '/' + randomId();
        m_origins[handle] = origin;
        m_alive.insert(handle);
        return handle;
    }

    void remove(const std::string &handle)
    {
        const std::scoped_lock lock(m_mutex);
        m_alive.erase(handle);
    }

    bool isAlive(const std::string &handle) const
    {
        const std::scoped_lock lock(m_mutex);
        return m_alive.contains(handle);
    }

    /// Returns what is wrong with the inputs of a piece that needs all results of a stage of its request, or an empty string.
    std::string findFault(const std::string &request, int stage, const std::vector<std::string> &inputs) const
    {
        const std::scoped_lock lock(m_mutex);
        std::set<int> indexes;
        for (const std::string &it : inputs) {
            const auto origin = m_origins.find(it);
            if (origin == m_origins.end()) {
                return "input '" + it + "' is no result of any engine";
            }
            if (origin->second.request != request) {
                return "input " + it + " is a result of request " + origin->second.request;
            }
            if (origin->second.stage != stage) {
                return "input " + it + " is a result of stage " + std::to_string(origin->second.stage);
            }
            if (!indexes.insert(origin->second.index).second) {
                return "piece " + std::to_string(origin->second.index) + " is given twice";
            }
        }
        if (indexes.size() != pieceCounts[static_cast<std::size_t>(stage)]) {
            return std::to_string(indexes.size()) + " inputs of " + std::to_string(pieceCounts[static_cast<std::size_t>(stage)]);
        }
        return {};
    }

private:
    mutable std::mutex m_mutex;
    std::map<std::string, Origin> m_origins;
    std::set<std::string> m_alive;
};

Results results;
Record *record = nullptr;
std::atomic<int> faults{0};
std::atomic<int> piecesWithInputs{0};

std::string textField(const std::string &json, const std::string &name)
{
    const std::string key = '"' + name + "\":\"";
    const std::size_t begin = json.find(key);
    return begin == std::string::npos ? "" : json.substr(begin + key.size(), json.find('"', begin + key.size()) - begin - key.size());
}

int numberField(const std::string &json, const std::string &name)
{
    const std::size_t begin = json.find('"' + name + "\":");
    return begin == std::string::npos ? -1 : std::atoi(json.c_str() + begin + name.size() + 3);
}

/// Returns the strings of an array, or nothing if the field is missing. Handles and ids contain no quotes.
std::optional<std::vector<std::string>> listField(const std::string &json, const std::string &name)
{
    const std::string key = '"' + name + "\":[";
    const std::size_t begin = json.find(key);
    if (begin == std::string::npos) {
        return std::nullopt;
    }
    const std::size_t first = begin + key.size();
    const std::string list = json.substr(first, json.find(']', first) - first);
    std::vector<std::string> found;
    for (std::size_t at = list.find('"'); at != std::string::npos; at = list.find('"', at)) {
        const std::size_t end = list.find('"', at + 1);
        found.push_back(list.substr(at + 1, end - at - 1));
        at = end + 1;
    }
    return found;
}

void judge(const std::string &where, const std::string &request, int stage, const std::vector<std::string> &inputs)
{
    ++piecesWithInputs;
    const std::string fault = results.findFault(request, stage, inputs);
    if (!fault.empty()) {
        ++faults;
        record->line("MIXED: " + where + " for request " + request + ": " + fault);
    }
}

/// An engine of a stage service: one call at a time, two that wait, and room for a number of results.
class StageEngine
{
public:
    StageEngine(Store &store, const std::string &id, const std::string &service, const Address &address, const std::string &zone, int itemMs,
                std::size_t room)
        : m_itemMs(itemMs)
        , m_room(room)
        , m_entry(store, id, service, address, zone, 1)
        , m_server(address, [this](Stream &stream, const Message &request) { return handle(stream, request); })
    {
        m_server.start();
        m_entry.begin(0);
    }

private:
    bool handle(Stream &stream, const Message &request)
    {
        if (request.header("X-Guavalock-Expect-Instance") != m_entry.id()) {
            return stream.send(response(421, "X-Guavalock-Instance-Id: " + m_entry.id() + "\r\n", ""));
        }
        if (request.target() == "/stage-free") {
            for (const std::string &it : listField(request.body, "handle_list").value_or(std::vector<std::string>())) {
                release(it);
            }
            return stream.send(response(200, "Content-Type: application/json\r\n", "{}"));
        }
        constexpr int waitingCalls = 2;
        if (m_calls.fetch_add(1) > waitingCalls) {
            --m_calls;
            return stream.send(response(503, "X-Guavalock-Not-Executed: 1\r\n", ""));
        }
        std::string body;
        {
            const std::scoped_lock turn(m_turn);
            body = run(request.body);
        }
        --m_calls;
        return stream.send(response(200, "Content-Type: application/json\r\n", body));
    }

    std::string run(const std::string &body)
    {
        struct Entry {
            std::string answer;
            std::optional<Results::Origin> made;
        };
        std::vector<Entry> entries;
        int workMs = callMs;
        for (std::size_t at = body.find('{', 1); at != std::string::npos; at = body.find('{', at + 1)) {
            const std::string entry = body.substr(at, body.find('}', at) - at + 1);
            const Results::Origin origin{textField(entry, "id"), numberField(entry, "phase"), numberField(entry, "fragment")};
            const auto inputs = listField(entry, "inputs");
            if (origin.stage == 1) {
                judge("piece " + std::to_string(origin.index) + " of stage 1", origin.request, 0, inputs.value_or(std::vector<std::string>()));
            }
            const bool gone = inputs && !std::ranges::all_of(*inputs, [](const std::string &it) { return results.isAlive(it); });
            if (gone) {
                entries.push_back({"{\"reason\":\"gone\"}", {}});
            } else if (!reserve()) {
                entries.push_back({"{\"reason\":\"room\"}", {}});
            } else {
                workMs += m_itemMs;
                entries.push_back({"", origin});
            }
        }
        sleepFor(workMs);
        std::string list;
        for (Entry &it : entries) {
            if (it.made) {
                const std::string handle = results.add(m_server.address(), *it.made);
                const std::scoped_lock lock(m_mutex);
                m_held[handle] = Clock::now() + Milliseconds(handleMs);
                it.answer = "{\"handle\":\"" + handle + "\"}";
            }
            list += (list.empty() ? "" : ",") + it.answer;
        }
        return "{\"entries\":[" + list + "]}";
    }

    /// Takes room for one result, which counts from the turn of its call.
    bool reserve()
    {
        const std::scoped_lock lock(m_mutex);
        std::erase_if(m_held, [this](const auto &it) {
            const bool expired = it.second < Clock::now();
            if (expired) {
                results.remove(it.first);
                --m_used;
            }
            return expired;
        });
        if (m_used >= m_room) {
            return false;
        }
        ++m_used;
        return true;
    }

    void release(const std::string &handle)
    {
        const std::scoped_lock lock(m_mutex);
        if (m_held.erase(handle) > 0) {
            results.remove(handle);
            --m_used;
        }
    }

    const int m_itemMs;
    const std::size_t m_room;
    std::atomic<int> m_calls{0};
    std::mutex m_turn;
    std::mutex m_mutex;
    std::map<std::string, TimePoint> m_held;
    std::size_t m_used = 0;
    EngineEntry m_entry;
    Server m_server;
};

bool serveModel(const std::string &engineId, Stream &stream, const Message &request)
{
    const std::string id = request.header("X-Guavalock-Attempt-Id");
    const std::string echo = "X-Guavalock-Attempt-Id: " + id + "\r\n";
    if (request.header("X-Guavalock-Expect-Instance") != engineId) {
        return stream.send(response(421, echo + "X-Guavalock-Instance-Id: " + engineId + "\r\n", ""));
    }
    std::vector<std::string> inputs;
    std::istringstream in(request.header("X-Guavalock-Input-Count"));
    std::string handle;
    while (std::getline(in, handle, ',')) {
        inputs.push_back(handle);
    }
    judge("the model engine", id, 1, inputs);
    if (!std::ranges::all_of(inputs, [](const std::string &it) { return results.isAlive(it); })) {
        return stream.send(response(409, echo + "X-Guavalock-Not-Executed: 1\r\n", ""));
    }
    sleepFor(800);
    std::string text;
    for (int it = 1; it <= 5; ++it) {
        text += "id: " + std::to_string(it) + "\ndata: piece of " + id + "\n\n";
    }
    return stream.send(response(200, echo + "X-Guavalock-Server-Signature: s." + id + "\r\nContent-Type: text/event-stream\r\n", text));
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 2) {
        return 2;
    }
    std::signal(SIGPIPE, SIG_IGN);
    Record lines(argv[1]);
    record = &lines;
    const bool trouble = hasTrouble();
    const TemporaryFolder folder;
    Store store(freeAddress(loopbackIp(2)));
    store.start();
    store.put("keyed.op", "config",
              "{\"version\":7,\"routes\":[{\"name\":\"r\",\"hostname\":\"quote.example\",\"path_prefix\":\"/quote/\",\"type\":\"streaming\","
              "\"timeout_ms\":6000,\"target_latency_ms\":1800,\"priority\":1,\"service\":\"band-model\",\"max_attempts\":1,\"public\":true,"
              "\"session_affinity\":true,\"resumable\":false,\"gap_target_ms\":200,\"phases\":[{\"service\":\"ledger\",\"after\":[],"
              "\"byte_count\":8000},{\"service\":\"yard-log\",\"after\":[0],\"byte_count\":60000}]}],\"services\":[{\"name\":\"band-model\","
              "\"health_path\":\"/healthz\",\"max_connections\":360,\"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":3.0,\"cold_per_s\":11.0,"
              "\"engine_id\":{\"capacity\":64,\"kv_capacity\":367584}},{\"name\":\"ledger\",\"health_path\":\"/healthz\","
              "\"max_connections\":360,\"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":0.0,\"cold_per_s\":0.0,\"fragments\":{\"capacity\":1,"
              "\"queue\":2,\"batch\":12,\"call_ms\":200.0,\"item_ms\":5.0,\"headroom_mb\":27.0,\"handle_s\":4.0,\"link_mbps\":10000}},"
              "{\"name\":\"yard-log\",\"health_path\":\"/healthz\",\"max_connections\":360,\"protocol\":\"h1\",\"tls\":false,"
              "\"cold_start_s\":0.0,\"cold_per_s\":0.0,\"fragments\":{\"capacity\":1,\"queue\":2,\"batch\":16,\"call_ms\":200.0,"
              "\"item_ms\":11.0,\"headroom_mb\":2.1,\"handle_s\":4.0,\"link_mbps\":10000}}],\"limits\":{\"max_header_bytes\":16384,"
              "\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}");
    static const char *const zones[] = {"peliyagoda", "ja-ela", "kelaniya", "wattala"};
    std::vector<std::unique_ptr<StageEngine>> stages;
    std::vector<std::unique_ptr<EngineEntry>> entries;
    std::vector<std::unique_ptr<Server>> models;
    constexpr std::size_t ledgerRoom = 27'000'000 / 8'000;
    constexpr std::size_t yardRoom = 2'100'000 / 60'000;
    for (int it = 0; it < 5; ++it) {
        const std::string number = std::to_string(it);
        stages.push_back(std::make_unique<StageEngine>(store, "i-0000010" + number, "ledger", freeAddress(loopbackIp(110 + it)), zones[it % 4],
                                                       5, ledgerRoom));
        stages.push_back(std::make_unique<StageEngine>(store, "i-0000020" + number, "yard-log", freeAddress(loopbackIp(120 + it)),
                                                       zones[it % 4], 11, yardRoom));
        const std::string id = "i-0000030" + number;
        const Address address = freeAddress(loopbackIp(130 + it));
        models.push_back(std::make_unique<Server>(
            address, [id](Stream &stream, const Message &request) { return serveModel(id, stream, request); }));
        models.back()->start();
        entries.push_back(std::make_unique<EngineEntry>(store, id, "band-model", address, zones[it % 4], 64));
        entries.back()->begin(0);
    }
    auto daemons = startDaemons(6, store, folder.path());
    if (!awaitReady(daemons, 15'000)) {
        lines.line("the daemons did not become ready");
        return 2;
    }
    sleepFor(4'000);

    // The balancer: two misses in a row, one second apart, take a daemon out until it is ready again.
    std::vector<std::atomic<int>> misses(daemons.size());
    std::atomic<bool> ended{false};
    std::thread balancer([&] {
        while (!ended) {
            for (std::size_t it = 0; it < daemons.size(); ++it) {
                misses[it] = daemons[it]->isReady() ? 0 : misses[it] + 1;
            }
            sleepFor(1'000);
        }
    });
    std::atomic<int> complete{0};
    std::atomic<int> refused{0};
    std::atomic<int> failed{0};
    std::atomic<int> running{0};
    std::atomic<int> rate{usualPerSecond};
    std::thread traffic([&] {
        std::mt19937 random(7);
        TimePoint next = Clock::now();
        while (!ended) {
            next += std::chrono::microseconds(1'000'000 / rate);
            std::this_thread::sleep_until(next);
            std::size_t chosen = random() % daemons.size();
            while (misses[chosen] >= 2) {
                chosen = random() % daemons.size();
            }
            ++running;
            std::thread([&, address = daemons[chosen]->frontend()] {
                ClientRequest request;
                request.method = "POST";
                request.host = "quote.example";
                request.path = "/quote/draft";
                request.body = "prompt";
                request.deadlineMs = 6'000;
                request.headers = "X-Guavalock-Model-Id: m\r\nX-Guavalock-Token-Usage: 1800,40\r\nX-Guavalock-Prefix-Hash: 5c1e07a2:800,"
                    + request.id.substr(0, 8) + ":1000\r\nX-Guavalock-Chunk-Count: " + std::to_string(pieceCounts[0]) + ','
                    + std::to_string(pieceCounts[1]) + "\r\nX-Guavalock-Chunk-Key: " + randomId().substr(0, 12) + "\r\n";
                const Answer answer = ask(address, request);
                ++(answer.complete && answer.status == 200 ? complete : answer.complete ? refused : failed);
                lines.line(request.id + (answer.complete ? " answered " + std::to_string(answer.status) : std::string(" without a complete answer")));
                --running;
            }).detach();
        }
    });
    sleepFor(6'000);
    for (int round = 0; round < roundCount; ++round) {
        lines.line("burst for 6.4 s");
        rate = usualPerSecond * burstFactorTenths / 10;
        for (std::size_t it = 0; it < daemons.size(); ++it) {
            if (trouble) {
                lines.line("SIGTERM to " + daemons[it]->name());
                daemons[it]->signal(SIGTERM);
            }
            for (int step = 0; step < 5; ++step) {
                sleepFor(stopGapMs / 5);
                if (step == 0 && it == 3) {
                    rate = usualPerSecond;
                }
            }
        }
        sleepFor(10'000); // The last daemon stops and is back.
    }
    ended = true;
    traffic.join();
    balancer.join();
    while (running > 0) {
        sleepFor(20);
    }
    lines.line("complete " + std::to_string(complete) + ", refused " + std::to_string(refused) + ", failed " + std::to_string(failed)
               + "; given inputs " + std::to_string(piecesWithInputs) + " times, wrong " + std::to_string(faults) + " times");
    std::printf("complete %d refused %d failed %d; inputs given %d, wrong %d\n", complete.load(), refused.load(), failed.load(),
                piecesWithInputs.load(), faults.load());
    return faults > 0 ? 1 : 0;
}
