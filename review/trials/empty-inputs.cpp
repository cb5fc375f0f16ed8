// Stage engines are short of room for results while the daemons are restarted one after the other. Each piece of a stage that follows
// another one has to be given the results of that stage.
#include "Scene.h"

using namespace Rig;

namespace
{

std::mutex mutex;
std::map<std::string, std::string> makers; ///< By handle: the request and stage that it was made for.
int incomplete = 0;
int calls = 0;
std::atomic<std::uint64_t> handles{0};
std::atomic<bool> full{false};

/// The entries of a call, as the text between braces.
std::vector<std::string> entriesOf(const std::string &body)
{
    std::vector<std::string> entries;
    for (std::size_t at = body.find('{', 1); at != std::string::npos; at = body.find('{', at + 1)) {
        entries.push_back(body.substr(at, body.find('}', at) - at));
    }
    return entries;
}

std::string valueOf(const std::string &entry, const std::string &field)
{
    const std::size_t at = entry.find('"' + field + "\":");
    if (at == std::string::npos) {
        return {};
    }
    std::size_t begin = at + field.size() + 3;
    const char end = entry[begin] == '"' ? '"' : entry[begin] == '[' ? ']' : ',';
    begin += end == ',' ? 0 : 1;
    return entry.substr(begin, std::min(entry.find(end, begin), entry.size()) - begin);
}

class StageEngine
{
public:
    StageEngine(Log &log, std::string id, const std::string &service, const std::string &ip)
        : m_id(std::move(id))
        , m_mayBeFull(service == "second")
        , m_server(ip, freePort(ip), [this](Stream &stream, Message &request) { return handle(stream, request); })
    {
        m_server.listen();
        m_registration = std::make_unique<Registration>(log, m_id, service, m_server.text(), "z1", 1);
    }

private:
    bool handle(Stream &stream, Message &request)
    {
        if (expectsAnother(request, m_id)) {
            return misdirected(stream, request, m_id);
        }
        if (request.word(1) == "/stage-free") {
            const std::scoped_lock lock(mutex);
            const std::string list = request.body;
            for (auto it = makers.begin(); it != makers.end();) {
                it = list.find('"' + it->first + '"') != std::string::npos ? makers.erase(it) : std::next(it);
            }
            return stream.write(response(200, {"Content-Type: application/json"}, "{}"));
        }
        if (request.word(1) != "/stage-run") {
            return stream.write(response(404, {}, ""));
        }
        const std::scoped_lock turn(m_turn);
        std::string results;
        const std::vector<std::string> entries = entriesOf(request.body);
        std::vector<bool> gone;
        for (const std::string &it : entries) {
            const std::string id = valueOf(it, "id");
            const std::string stage = valueOf(it, "phase");
            const std::string inputs = valueOf(it, "inputs");
            bool isGone = false;
            if (stage == "1") {
                const std::scoped_lock lock(mutex);
                ++calls;
                std::istringstream list(inputs);
                std::string handle;
                std::set<std::string> given;
                while (std::getline(list, handle, ',')) {
                    handle = handle.size() > 1 ? handle.substr(1, handle.size() - 2) : "";
                    isGone = isGone || !makers.contains(handle);
                    if (!handle.empty()) {
                        given.insert(handle);
                    }
                }
                if (given.size() != 2) {
                    ++incomplete;
                    record.line(m_id + " is given the inputs [" + inputs + "] for " + id);
                }
            }
            gone.push_back(isGone);
        }
        pause(Ms(200 + 10 * entries.size()));
        for (std::size_t n = 0; n < entries.size(); ++n) {
            results += n == 0 ? "" : ",";
            if (gone[n]) {
                results += "{\"reason\":\"gone\"}";
            } else if (m_mayBeFull && full) {
                results += "{\"reason\":\"room\"}";
            } else {
                const std::string handle = m_server.text() + '/' + std::to_string(++handles);
                const std::scoped_lock lock(mutex);
                makers[handle] = valueOf(entries[n], "id");
                results += "{\"handle\":\"" + handle + "\"}";
            }
        }
        return stream.write(response(200, {"Content-Type: application/json", "X-Guavalock-Instance-Load: 0,0,1"}, "{\"entries\":[" + results + "]}"));
    }

    std::string m_id;
    bool m_mayBeFull;
    std::mutex m_turn;
    Server m_server;
    std::unique_ptr<Registration> m_registration;
};

bool generate(Stream &stream, Message &request)
{
    if (expectsAnother(request, "model-1")) {
        return misdirected(stream, request, "model-1");
    }
    std::string text = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n";
    for (const std::string &it : signedHeaders(request, "model-1")) {
        text += it + "\r\n";
    }
    const std::string event = "id: 1\ndata: x\n\n";
    std::array<char, 16> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", event.size());
    return stream.write(text + "\r\n" + size.data() + event + "\r\n0\r\n\r\n");
}

} // namespace

int main(int count, char **arguments)
{
    const std::string folder = prepare(count, arguments);
    const std::string ip = "127.0.0.1";
    Log log;
    Server platform(ip, freePort(ip), [&log](Stream &stream, Message &request) { return log.handle(stream, request); });
    platform.listen();
    std::vector<std::unique_ptr<StageEngine>> engines;
    for (int it = 1; it <= 2; ++it) {
        engines.push_back(std::make_unique<StageEngine>(log, "first-" + std::to_string(it), "first", ip));
        engines.push_back(std::make_unique<StageEngine>(log, "second-" + std::to_string(it), "second", ip));
    }
    Server model(ip, freePort(ip), &generate);
    model.listen();
    Registration registration(log, "model-1", "model", model.text(), "z1", 64);
    std::string text = configuration(1,
                                     {{"draft", "/draft/", "streaming", "model", 8'000, 2'000, 1,
                                       ",\"gap_target_ms\":250,\"phases\":[{\"service\":\"first\",\"after\":[],\"byte_count\":8000},"
                                       "{\"service\":\"second\",\"after\":[0],\"byte_count\":60000}]"}},
                                     {"model"}, {"k1"});
    const std::string list = "\"services\":[";
    for (const std::string name : {"first", "second"}) {
        text.insert(text.find(list) + list.size(),
                    "{\"name\":\"" + name + "\",\"health_path\":\"/healthz\",\"max_connections\":280,\"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":0.0,"
                    "\"cold_per_s\":0.0,\"fragments\":{\"capacity\":1,\"queue\":2,\"batch\":16,\"call_ms\":200.0,\"item_ms\":10.0,\"headroom_mb\":2.1,"
                    "\"handle_s\":4.0,\"link_mbps\":10000}},");
    }
    log.append("keyed.op", "config", text);
    Daemon first({"edge-1", "127.0.0.1", "z1", 260}, platform.text(), {}, folder);
    Daemon second({"edge-2", "127.0.0.2", "z2", 260}, platform.text(), {}, folder);
    const std::vector<Daemon *> daemons{&first, &second};
    for (Daemon *it : daemons) {
        it->start();
    }
    for (Daemon *it : daemons) {
        it->waitUntilReady();
    }
    pause(Ms(4'000));
    std::atomic<bool> ended{false};
    std::atomic<int> served{0};
    std::atomic<int> unserved{0};
    std::vector<std::thread> clients;
    std::thread traffic([&] {
        for (int n = 0; !ended; ++n) {
            Daemon *daemon = daemons[n % 2];
            clients.emplace_back([&, daemon, n] {
                Request request;
                request.path = "/draft/x";
                request.id = "draft-" + std::to_string(n);
                request.deadlineMs = 8'000;
                request.headers = {"X-Guavalock-Chunk-Count: 2,2", "X-Guavalock-Chunk-Key: 5c", "X-Guavalock-Model-Id: m", "X-Guavalock-Token-Usage: 100,20"};
                request.body = "body";
                const auto stream = connect(daemon->place().ip, daemon->callers());
                const Message answer = stream->isOpen() ? exchange(*stream, request) : Message();
                ++(answer.status() == 200 && answer.complete ? served : unserved);
                record.line(request.id + " at " + daemon->place().name + " got " + answer.first);
            });
            pause(Ms(150));
        }
    });
    pause(Ms(5'000));
    for (Daemon *daemon : daemons) {
        full = true;
        record.line("the engines of the second stage are short of room");
        pause(Ms(1'500));
        if (trouble()) {
            record.line("SIGTERM of " + daemon->place().name);
            daemon->signal(SIGTERM);
        }
        pause(Ms(3'000));
        full = false;
        const Clock::time_point until = Clock::now() + Ms(8'000);
        while (trouble() && Clock::now() < until && !daemon->ended()) {
            pause(Ms(50));
        }
        if (trouble()) {
            daemon->start();
            daemon->waitUntilReady();
        }
        pause(Ms(5'000));
    }
    ended = true;
    traffic.join();
    for (std::thread &it : clients) {
        it.join();
    }
    const std::scoped_lock lock(mutex);
    record.verdict(std::to_string(served) + " served, " + std::to_string(unserved) + " not; " + std::to_string(incomplete) + " of "
                   + std::to_string(calls) + " pieces of the second stage were given other inputs than the two results of the first");
    record.verdict(incomplete > 0 ? "MIXED is broken" : "MIXED held");
    finish(incomplete > 0, folder);
}
