// A request crashes each stage engine that begins to run one of its pieces. It comes again, with the same path, caller and body.
#include "Scene.h"

using namespace Rig;

namespace
{

constexpr int stageEngines = 5;
constexpr auto downTime = std::chrono::seconds(3);
constexpr auto contact = std::chrono::seconds(3); ///< contact_ms
const std::string poisonKey = "bad0000000000000";

std::mutex mutex;
std::vector<double> poisonCalls; ///< When calls with its pieces reached an engine.
std::vector<double> crashes;
std::atomic<std::uint64_t> handles{0};

std::vector<std::string> valuesOf(const std::string &text, const std::string &field)
{
    std::vector<std::string> values;
    const std::string name = '"' + field + "\":\"";
    for (std::size_t at = text.find(name); at != std::string::npos; at = text.find(name, at + 1)) {
        const std::size_t begin = at + name.size();
        values.push_back(text.substr(begin, text.find('"', begin) - begin));
    }
    return values;
}

/// An engine of a stage: one call at a time, 200 ms and 10 ms a piece.
class StageEngine
{
public:
    StageEngine(Log &log, std::string id, const std::string &ip)
        : m_id(std::move(id))
        , m_server(ip, freePort(ip), [this](Stream &stream, Message &request) { return handle(stream, request); })
    {
        m_server.listen();
        m_registration = std::make_unique<Registration>(log, m_id, "stage", m_server.text(), "z1", 1);
    }

private:
    bool handle(Stream &stream, Message &request)
    {
        if (expectsAnother(request, m_id)) {
            return misdirected(stream, request, m_id);
        }
        if (request.word(1) == "/stage-free") {
            return stream.write(response(200, {"Content-Type: application/json"}, "{}"));
        }
        if (request.word(1) != "/stage-run") {
            return stream.write(response(404, {}, ""));
        }
        const std::vector<std::string> ids = valuesOf(request.body, "id");
        const std::scoped_lock turn(m_turn);
        std::string text;
        for (const std::string &it : ids) {
            text += ' ' + it;
        }
        record.line(m_id + " begins a call with pieces of" + text);
        if (trouble() && request.body.find(poisonKey) != std::string::npos) {
            {
                const std::scoped_lock lock(mutex);
                poisonCalls.push_back(seconds());
                crashes.push_back(seconds());
            }
            record.line(m_id + " crashes");
            m_server.crash();
            std::thread([this] {
                pause(downTime);
                m_server.listen();
                record.line(m_id + " is back");
            }).detach();
            return false;
        }
        pause(Ms(200 + 10 * ids.size()));
        std::string entries;
        for (std::size_t it = 0; it < ids.size(); ++it) {
            entries += (it == 0 ? "" : ",") + std::string("{\"handle\":\"") + m_server.text() + '/' + std::to_string(++handles) + "\"}";
        }
        return stream.write(response(200, {"Content-Type: application/json", "X-Guavalock-Instance-Load: 0,0,1"}, "{\"entries\":[" + entries + "]}"));
    }

    std::string m_id;
    std::mutex m_turn;
    Server m_server;
    std::unique_ptr<Registration> m_registration;
};

bool generate(Stream &stream, Message &request)
{
    const std::string id = request.header("X-Guavalock-Attempt-Id");
    if (expectsAnother(request, "model-1")) {
        return misdirected(stream, request, "model-1");
    }
    record.line("model-1 runs " + id);
    std::string text = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n";
    for (const std::string &it : signedHeaders(request, "model-1")) {
        text += it + "\r\n";
    }
    text += "\r\n";
    for (int it = 1; it <= 5; ++it) {
        const std::string event = "id: " + std::to_string(it) + "\ndata: x\n\n";
        std::array<char, 16> size{};
        std::snprintf(size.data(), size.size(), "%zx\r\n", event.size());
        text += size.data() + event + "\r\n";
    }
    return stream.write(text + "0\r\n\r\n");
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
    for (int it = 1; it <= stageEngines; ++it) {
        engines.push_back(std::make_unique<StageEngine>(log, "stage-" + std::to_string(it), ip));
    }
    Server model(ip, freePort(ip), &generate);
    model.listen();
    Registration registration(log, "model-1", "model", model.text(), "z1", 64);
    std::string text = configuration(1,
                                     {{"draft", "/draft/", "streaming", "model", 6'000, 1'800, 1,
                                       ",\"gap_target_ms\":250,\"phases\":[{\"service\":\"stage\",\"after\":[],\"byte_count\":8000}]"}},
                                     {"model"}, {"k1"});
    const std::string list = "\"services\":[";
    text.insert(text.find(list) + list.size(),
                "{\"name\":\"stage\",\"health_path\":\"/healthz\",\"max_connections\":280,\"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":0.0,"
                "\"cold_per_s\":0.0,\"fragments\":{\"capacity\":1,\"queue\":2,\"batch\":16,\"call_ms\":200.0,\"item_ms\":10.0,\"headroom_mb\":18.0,"
                "\"handle_s\":4.0,\"link_mbps\":10000}},");
    log.append("keyed.op", "config", text);
    Daemon daemon({"edge-1", "127.0.0.1", "z1", 260}, platform.text(), {}, folder);
    daemon.start();
    daemon.waitUntilReady();
    pause(Ms(4'000));

    std::atomic<int> served{0};
    std::atomic<int> unserved{0};
    const auto send = [&](const std::string &id, bool poison) {
        Request request;
        request.path = poison ? "/draft/poison" : "/draft/" + id;
        request.id = id;
        request.deadlineMs = 6'000;
        request.headers = {"X-Guavalock-Chunk-Count: 2", "X-Guavalock-Chunk-Key: " + (poison ? poisonKey : "5" + std::to_string(id.size())),
                           "X-Guavalock-Model-Id: m", "X-Guavalock-Token-Usage: 100,20"};
        request.body = poison ? "the same body" : "body of " + id;
        const double at = seconds();
        const auto stream = connect(ip, daemon.callers());
        const Message answer = exchange(*stream, request);
        record.line("client: " + id + ", sent at " + std::to_string(at) + ", got " + (answer.first.empty() ? "no answer" : answer.first));
        if (!poison) {
            ++(answer.status() == 200 && answer.complete ? served : unserved);
        }
    };
    std::vector<std::thread> clients;
    const auto play = [&](int rounds, bool poison, const std::string &name) {
        for (int it = 0; it < rounds; ++it) {
            clients.emplace_back(send, name + std::to_string(it), false);
            if (poison && it % 8 == 0) {
                clients.emplace_back(send, "poison" + std::to_string(it), true);
            }
            pause(Ms(125));
        }
    };
    const auto join = [&] {
        for (std::thread &it : clients) {
            it.join();
        }
        clients.clear();
    };
    play(80, false, "calm");
    join();
    record.verdict("before: " + std::to_string(served) + " sound requests served, " + std::to_string(unserved) + " not");
    served = 0;
    unserved = 0;
    play(320, true, "sound");
    join();
    const std::scoped_lock lock(mutex);
    int late = 0;
    if (crashes.size() >= 3) {
        const double from = crashes[2] + std::chrono::duration<double>(contact).count();
        late = static_cast<int>(std::ranges::count_if(poisonCalls, [&](double it) { return it > from; }));
    }
    record.verdict("beside the request that crashes engines: " + std::to_string(served) + " sound requests served, " + std::to_string(unserved)
                   + " not; " + std::to_string(crashes.size()) + " crashes; it reached engines " + std::to_string(late)
                   + " times later than contact_ms after the third crash (at most 3 allowed)");
    record.verdict(late > 3 ? "BUDGET is broken" : "BUDGET held");
    finish(late > 3, folder);
}
