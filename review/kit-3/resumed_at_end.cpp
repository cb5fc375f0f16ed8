// Connections are reset just before the end of a stream. Clients resume it, and use the connection again.
//
// Usage: resumed_at_end RECORD
#include "standins.h"

using namespace Review;

namespace
{

constexpr int lastEvent = 6;
constexpr int firstEventMs = 100;
constexpr int endDelayMs = 150; ///< Between the last event and the end of the response.
constexpr int clientCount = 4;
constexpr int rounds = 5;
constexpr int deadlineMs = 6'000;

/// A model engine. A request that goes on after the last event is answered with 204: nothing is left, as for any event stream.
bool serveEngine(const std::string &engineId, Stream &stream, const Message &request)
{
    const std::string id = request.header("X-Guavalock-Attempt-Id");
    const std::string echo = "X-Guavalock-Attempt-Id: " + id + "\r\n";
    if (request.header("X-Guavalock-Expect-Instance") != engineId) {
        return stream.send(response(421, echo + "X-Guavalock-Instance-Id: " + engineId + "\r\n", ""));
    }
    const std::string sign = echo + "X-Guavalock-Server-Signature: s." + id + "\r\n";
    const int seen = std::atoi(request.header("Last-Event-Id").c_str());
    sleepFor(firstEventMs);
    if (seen >= lastEvent) {
        return stream.send("HTTP/1.1 204 No Content\r\n" + sign + "\r\n");
    }
    if (!stream.send("HTTP/1.1 200 OK\r\n" + sign + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")) {
        return false;
    }
    for (int it = seen + 1; it <= lastEvent; ++it) {
        const std::string event = "id: " + std::to_string(it) + "\ndata: piece\n\n";
        char size[16];
        std::snprintf(size, sizeof size, "%zx\r\n", event.size());
        if (!stream.send(size + event + "\r\n")) {
            return false;
        }
        sleepFor(20);
    }
    sleepFor(endDelayMs);
    return stream.send("0\r\n\r\n");
}

/// A proxy between clients and a daemon, which can reset connections.
class Proxy
{
public:
    Proxy(const Address &address, Address daemon)
        : m_daemon(std::move(daemon))
    {
        m_listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const sockaddr_in local = toSockaddr(address);
        if (::bind(m_listener, reinterpret_cast<const sockaddr *>(&local), sizeof local) != 0 || ::listen(m_listener, 64) != 0) {
            std::perror("proxy");
            std::exit(2);
        }
        m_thread = std::thread([this] { accept(); });
    }

    ~Proxy()
    {
        m_ended = true;
        ::shutdown(m_listener, SHUT_RDWR);
        m_thread.join();
        ::close(m_listener);
        while (m_connections > 0) {
            sleepFor(5);
        }
    }

    /// Resets the next connections on which the last event of a stream has been passed on.
    void resetAfterLastEvent(int connections)
    {
        m_resets += connections;
    }

private:
    void accept()
    {
        while (!m_ended) {
            const int fd = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd >= 0) {
                ++m_connections;
                std::thread([this, fd] {
                    serve(fd);
                    --m_connections;
                }).detach();
            }
        }
    }

    void serve(int fd)
    {
        Stream client(fd);
        const auto daemon = Stream::connect(m_daemon, 1'000);
        if (!daemon) {
            return;
        }
        const std::string mark = "id: " + std::to_string(lastEvent) + "\n";
        while (!m_ended) {
            pollfd pollers[2] = {{client.fd(), POLLIN, 0}, {daemon->fd(), POLLIN, 0}};
            ::poll(pollers, 2, 1'000);
            for (int it = 0; it < 2; ++it) {
                if (pollers[it].revents == 0) {
                    continue;
                }
                char buf[16384];
                const ssize_t n = ::recv(pollers[it].fd, buf, sizeof buf, 0);
                const std::string text(buf, static_cast<std::size_t>(std::max<ssize_t>(n, 0)));
                if (n <= 0 || !(it == 0 ? daemon->send(text) : client.send(text))) {
                    return;
                }
                if (it == 1 && text.find(mark) != std::string::npos && takeReset()) {
                    sleepFor(10); // The client reads the event first.
                    client.resetOnClose();
                    daemon->resetOnClose();
                    return;
                }
            }
        }
    }

    bool takeReset()
    {
        int left = m_resets;
        while (left > 0 && !m_resets.compare_exchange_weak(left, left - 1)) { }
        return left > 0;
    }

    const Address m_daemon;
    int m_listener = -1;
    std::atomic<int> m_resets{0};
    std::atomic<int> m_connections{0};
    std::atomic<bool> m_ended{false};
    std::thread m_thread;
};

struct Counts {
    std::atomic<int> complete{0};
    std::atomic<int> broken{0};
    std::atomic<int> resumed{0};
    std::atomic<int> noAnswer{0}; ///< Bytes that are no answer, where the answer to a request was due.
    std::atomic<int> other{0};
};

/// A client with one kept connection.
class Client
{
public:
    Client(Address address, Counts &counts, Record &record)
        : m_address(std::move(address))
        , m_counts(counts)
        , m_record(record)
    {
    }

    void draft()
    {
        Message answer;
        std::string lastId;
        const bool complete = exchange("", answer, lastId);
        if (complete) {
            return;
        }
        // The client resumes the stream on a new connection, which it keeps.
        m_stream.reset();
        ++m_counts.resumed;
        exchange(lastId, answer, lastId);
    }

private:
    bool exchange(const std::string &after, Message &answer, std::string &lastId)
    {
        if (!m_stream) {
            m_stream = Stream::connect(m_address, 1'000);
        }
        if (!m_stream) {
            ++m_counts.other;
            return false;
        }
        const std::string id = randomId();
        answer = Message();
        m_stream->setDeadline(Clock::now() + Milliseconds(deadlineMs));
        m_stream->send("POST /spec/answer HTTP/1.1\r\nHost: spec.example\r\nX-Guavalock-Attempt-Id: " + id
                       + "\r\nX-Guavalock-Model-Id: m\r\nX-Guavalock-Token-Usage: 1800,24\r\nX-Guavalock-Prefix-Hash: 5c1e07a2:568,"
                       + id.substr(0, 8) + ":1232\r\nX-Guavalock-Deadline-Ms: " + std::to_string(deadlineMs) + "\r\n"
                       + (after.empty() ? "" : "Last-Event-Id: " + after + "\r\n") + "Content-Length: 6\r\n\r\nprompt");
        const std::string name = id + (after.empty() ? "" : ", which goes on after event " + after) + ": ";
        if (!m_stream->readHead(answer)) {
            m_record.line(name + "the connection ends without an answer");
            ++m_counts.other;
            m_stream.reset();
            return false;
        }
        if (!answer.startLine.starts_with("HTTP/1.1 ")) {
            m_record.line(name + "in place of an answer the client reads '" + answer.startLine + "'");
            ++m_counts.noAnswer;
            m_stream.reset();
            return true;
        }
        // An answer with status 204 ends with its head (RFC 9112, section 6.3).
        const bool complete = answer.status() == 204 || m_stream->readBody(answer);
        const std::size_t at = answer.body.rfind("id: ");
        lastId = at == std::string::npos ? lastId : std::to_string(std::atoi(answer.body.c_str() + at + 4));
        m_record.line(name + std::to_string(answer.status()) + (complete ? ", complete" : ", broken off after event " + lastId));
        ++(complete ? m_counts.complete : m_counts.broken);
        if (answer.header("Connection") == "close") {
            m_stream.reset();
        }
        return complete;
    }

    const Address m_address;
    Counts &m_counts;
    Record &m_record;
    std::unique_ptr<Stream> m_stream;
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
    store.put(
        "keyed.op", "config",
        "{\"version\":7,\"routes\":[{\"name\":\"r\",\"hostname\":\"spec.example\",\"path_prefix\":\"/spec/\",\"type\":\"streaming\","
        "\"timeout_ms\":6000,\"target_latency_ms\":1800,\"priority\":1,\"service\":\"band-model\",\"max_attempts\":2,\"public\":true,"
        "\"session_affinity\":true,\"resumable\":true,\"gap_target_ms\":200}],\"services\":[{\"name\":\"band-model\","
        "\"health_path\":\"/healthz\",\"max_connections\":360,\"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":3.0,\"cold_per_s\":11.0,"
        "\"engine_id\":{\"capacity\":64,\"kv_capacity\":367584}}],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
        "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}");
    std::vector<std::unique_ptr<EngineEntry>> entries;
    std::vector<std::unique_ptr<Server>> engines;
    for (int it = 1; it <= 4; ++it) {
        const std::string id = "i-0000000" + std::to_string(it);
        const Address address = freeAddress(loopbackIp(100 + it));
        engines.push_back(
            std::make_unique<Server>(address, [id](Stream &stream, const Message &request) { return serveEngine(id, stream, request); }));
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
    Counts counts;
    std::vector<Address> addresses;
    std::vector<std::unique_ptr<Proxy>> proxies;
    for (const auto &it : daemons) {
        addresses.push_back(freeAddress(loopbackIp(200)));
        proxies.push_back(std::make_unique<Proxy>(addresses.back(), it->frontend()));
    }
    std::vector<std::unique_ptr<Client>> clients;
    for (int it = 0; it < clientCount; ++it) {
        clients.push_back(std::make_unique<Client>(addresses[static_cast<std::size_t>(it) % addresses.size()], counts, record));
    }
    for (int round = 0; round < rounds; ++round) {
        if (trouble) {
            record.line("one connection of daemon " + std::to_string(round % 2 + 1) + " is to be reset");
            proxies[static_cast<std::size_t>(round) % proxies.size()]->resetAfterLastEvent(1);
        }
        std::vector<std::thread> threads;
        for (const auto &it : clients) {
            threads.emplace_back([&it] { it->draft(); });
        }
        for (std::thread &it : threads) {
            it.join();
        }
        sleepFor(500);
    }
    record.line("complete " + std::to_string(counts.complete) + ", broken off " + std::to_string(counts.broken) + ", resumed "
                + std::to_string(counts.resumed) + ", bytes that are no answer in place of one " + std::to_string(counts.noAnswer)
                + ", other " + std::to_string(counts.other));
    std::printf("complete %d, broken off %d, resumed %d, no answer in the protocol %d, other %d\n", counts.complete.load(),
                counts.broken.load(), counts.resumed.load(), counts.noAnswer.load(), counts.other.load());
    return counts.noAnswer > 0 ? 1 : 0;
}
