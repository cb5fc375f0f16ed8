#pragma once

/// Stand-ins for the platform's store, engines and clients, and the processes of the system under test.
/// Plain POSIX sockets and one thread a connection.

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <system_error>
#include <thread>
#include <utility>
#include <vector>

namespace Kit
{

using SteadyClock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;

constexpr int exitHeld = 0;
constexpr int exitBroken = 1;
constexpr int exitNotRun = 2;

inline const SteadyClock::time_point processStart = SteadyClock::now();

inline double seconds()
{
    return std::chrono::duration<double>(SteadyClock::now() - processStart).count();
}

inline void sleepFor(int milliseconds)
{
    std::this_thread::sleep_for(Milliseconds(milliseconds));
}

/// Lines with the time since the start, in record.txt and on standard output.
class Record
{
public:
    static Record &instance()
    {
        static Record record;
        return record;
    }

    void open(const std::string &path)
    {
        m_file = std::fopen(path.c_str(), "w");
    }

    void line(bool echo, const char *format, va_list arguments)
    {
        char text[1024];
        std::vsnprintf(text, sizeof text, format, arguments);
        const std::scoped_lock lock(m_mutex);
        if (m_file != nullptr) {
            std::fprintf(m_file, "%8.3f %s\n", seconds(), text);
            std::fflush(m_file);
        }
        if (echo) {
            std::printf("%8.3f %s\n", seconds(), text);
            std::fflush(stdout);
        }
    }

private:
    std::mutex m_mutex;
    std::FILE *m_file = nullptr;
};

__attribute__((format(printf, 1, 2))) inline void note(const char *format, ...)
{
    va_list arguments;
    va_start(arguments, format);
    Record::instance().line(false, format, arguments);
    va_end(arguments);
}

__attribute__((format(printf, 1, 2))) inline void say(const char *format, ...)
{
    va_list arguments;
    va_start(arguments, format);
    Record::instance().line(true, format, arguments);
    va_end(arguments);
}

inline bool hasTrouble()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

class Socket
{
public:
    explicit Socket(int descriptor = -1)
        : m_descriptor(descriptor)
    {
    }
    ~Socket()
    {
        close();
    }
    Socket(Socket &&other) noexcept
        : m_descriptor(std::exchange(other.m_descriptor, -1))
        , m_buffer(std::move(other.m_buffer))
    {
    }
    Socket &operator=(Socket &&other) noexcept
    {
        close();
        m_descriptor = std::exchange(other.m_descriptor, -1);
        m_buffer = std::move(other.m_buffer);
        return *this;
    }

    static Socket connect(const std::string &ip, int port, int timeoutMs = 1000)
    {
        Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
        socket.setTimeout(timeoutMs);
        if (::connect(socket.m_descriptor, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0) {
            socket.close();
        } else {
            socket.noDelay();
        }
        return socket;
    }

    bool isOpen() const
    {
        return m_descriptor >= 0;
    }
    int descriptor() const
    {
        return m_descriptor;
    }
    void noDelay() const
    {
        const int on = 1;
        ::setsockopt(m_descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }
    void setTimeout(int milliseconds) const
    {
        const timeval limit{milliseconds / 1000, (milliseconds % 1000) * 1000};
        ::setsockopt(m_descriptor, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
        ::setsockopt(m_descriptor, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
    }
    void close()
    {
        if (m_descriptor >= 0) {
            ::close(m_descriptor);
        }
        m_descriptor = -1;
        m_buffer.clear();
    }
    /// Closes with a reset.
    void reset()
    {
        if (m_descriptor >= 0) {
            const linger now{1, 0};
            ::setsockopt(m_descriptor, SOL_SOCKET, SO_LINGER, &now, sizeof now);
        }
        close();
    }
    void shutdownAll() const
    {
        ::shutdown(m_descriptor, SHUT_RDWR);
    }
    bool write(const std::string &text) const
    {
        std::size_t at = 0;
        while (at < text.size()) {
            const ssize_t n = ::send(m_descriptor, text.data() + at, text.size() - at, MSG_NOSIGNAL);
            if (n <= 0) {
                if (n < 0 && errno == EINTR) {
                    continue;
                }
                return false;
            }
            at += static_cast<std::size_t>(n);
        }
        return true;
    }
    /// Reads once into the buffer. Returns 1 on data, 0 on the end, -1 on a reset, -2 on a time-out.
    int readMore()
    {
        char bytes[65536];
        while (true) {
            const ssize_t n = ::recv(m_descriptor, bytes, sizeof bytes, 0);
            if (n > 0) {
                m_buffer.append(bytes, static_cast<std::size_t>(n));
                return 1;
            }
            if (n < 0 && errno == EINTR) {
                continue;
            }
            return n == 0 ? 0 : errno == EAGAIN || errno == EWOULDBLOCK ? -2 : -1;
        }
    }
    std::string &buffer()
    {
        return m_buffer;
    }
    /// Returns whether the peer has closed the connection.
    bool peerClosed() const
    {
        char byte = 0;
        const ssize_t n = ::recv(m_descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
    }

private:
    int m_descriptor = -1;
    std::string m_buffer;
};

using Headers = std::vector<std::pair<std::string, std::string>>;

inline std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char it) { return static_cast<char>(std::tolower(it)); });
    return text;
}

struct Message {
    std::string first; ///< Request or status line.
    Headers headers;
    std::string body;

    std::string header(const std::string &name) const
    {
        for (const auto &[key, value] : headers) {
            if (lower(key) == lower(name)) {
                return value;
            }
        }
        return {};
    }
    std::string word(std::size_t index) const
    {
        std::size_t begin = 0;
        for (std::size_t it = 0; it < index; ++it) {
            begin = first.find(' ', begin);
            if (begin == std::string::npos) {
                return {};
            }
            ++begin;
        }
        return first.substr(begin, first.find(' ', begin) - begin);
    }
    int status() const
    {
        return std::atoi(word(1).c_str());
    }
};

enum class ReadEnd { Complete, Closed, Reset, TimedOut, Broken };

/// Reads a head. `Closed` if the connection ends before its first byte or within it.
inline ReadEnd readHead(Socket &socket, Message &message)
{
    std::size_t end = 0;
    while ((end = socket.buffer().find("\r\n\r\n")) == std::string::npos) {
        const int n = socket.readMore();
        if (n != 1) {
            return n == 0 ? ReadEnd::Closed : n == -1 ? ReadEnd::Reset : ReadEnd::TimedOut;
        }
    }
    const std::string head = socket.buffer().substr(0, end);
    socket.buffer().erase(0, end + 4);
    message = {};
    std::size_t at = 0;
    while (at <= head.size()) {
        const std::size_t lineEnd = std::min(head.find("\r\n", at), head.size());
        const std::string line = head.substr(at, lineEnd - at);
        at = lineEnd + 2;
        if (message.first.empty()) {
            message.first = line;
            continue;
        }
        const std::size_t colon = line.find(':');
        if (colon == std::string::npos) {
            continue;
        }
        std::size_t value = colon + 1;
        while (value < line.size() && line[value] == ' ') {
            ++value;
        }
        message.headers.emplace_back(line.substr(0, colon), line.substr(value));
    }
    return ReadEnd::Complete;
}

inline ReadEnd fill(Socket &socket, std::size_t bytes)
{
    while (socket.buffer().size() < bytes) {
        const int n = socket.readMore();
        if (n != 1) {
            return n == 0 ? ReadEnd::Closed : n == -1 ? ReadEnd::Reset : ReadEnd::TimedOut;
        }
    }
    return ReadEnd::Complete;
}

/// Reads a message with a length or in chunks. A response with neither ends with its connection.
inline ReadEnd readMessage(Socket &socket, Message &message, bool isResponse)
{
    ReadEnd end = readHead(socket, message);
    if (end != ReadEnd::Complete) {
        return end;
    }
    if (lower(message.header("Transfer-Encoding")) == "chunked") {
        while (true) {
            std::size_t line = 0;
            while ((line = socket.buffer().find("\r\n")) == std::string::npos) {
                if ((end = fill(socket, socket.buffer().size() + 1)) != ReadEnd::Complete) {
                    return end;
                }
            }
            const std::size_t size = std::strtoul(socket.buffer().substr(0, line).c_str(), nullptr, 16);
            if ((end = fill(socket, line + 2 + size + 2)) != ReadEnd::Complete) {
                return end;
            }
            message.body += socket.buffer().substr(line + 2, size);
            socket.buffer().erase(0, line + 2 + size + 2);
            if (size == 0) {
                return ReadEnd::Complete;
            }
        }
    }
    const std::string length = message.header("Content-Length");
    if (!length.empty()) {
        const std::size_t size = std::strtoul(length.c_str(), nullptr, 10);
        if ((end = fill(socket, size)) != ReadEnd::Complete) {
            message.body = socket.buffer();
            return end;
        }
        message.body = socket.buffer().substr(0, size);
        socket.buffer().erase(0, size);
        return ReadEnd::Complete;
    }
    if (!isResponse) {
        return ReadEnd::Complete;
    }
    while (true) {
        const int n = socket.readMore();
        if (n == 1) {
            continue;
        }
        message.body = std::exchange(socket.buffer(), {});
        return n == 0 ? ReadEnd::Complete : n == -1 ? ReadEnd::Reset : ReadEnd::TimedOut;
    }
}

inline const char *endName(ReadEnd end)
{
    static const char *names[] = {"complete", "closed", "reset", "timed-out", "broken"};
    return names[static_cast<int>(end)];
}

/// Accepts connections and serves each on a thread of its own.
class Server
{
public:
    using Handler = std::function<void(Socket &)>;

    Server(std::string ip, Handler handler, int port = 0)
        : m_ip(std::move(ip))
        , m_handler(std::move(handler))
    {
        listen(port);
    }
    ~Server()
    {
        stop();
    }

    void listen(int port)
    {
        m_descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        ::setsockopt(m_descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        inet_pton(AF_INET, m_ip.c_str(), &address.sin_addr);
        if (::bind(m_descriptor, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0 || ::listen(m_descriptor, 512) != 0) {
            std::perror("bind");
            std::exit(exitNotRun);
        }
        socklen_t size = sizeof address;
        ::getsockname(m_descriptor, reinterpret_cast<sockaddr *>(&address), &size);
        m_port = ntohs(address.sin_port);
        m_stopped = false;
        m_thread = std::thread([this] { accept(); });
    }
    /// Stops listening and resets all connections, as the end of a process does.
    void stop()
    {
        if (m_stopped.exchange(true)) {
            return;
        }
        ::shutdown(m_descriptor, SHUT_RDWR);
        ::close(m_descriptor);
        m_thread.join();
        const std::scoped_lock lock(m_shared->mutex);
        for (const int it : m_shared->open) {
            const linger now{1, 0};
            ::setsockopt(it, SOL_SOCKET, SO_LINGER, &now, sizeof now);
            ::shutdown(it, SHUT_RDWR);
        }
    }
    int port() const
    {
        return m_port;
    }
    std::string address() const
    {
        return m_ip + ":" + std::to_string(m_port);
    }

private:
    struct Shared {
        std::mutex mutex;
        std::set<int> open;
    };

    void accept()
    {
        while (!m_stopped) {
            const int descriptor = ::accept4(m_descriptor, nullptr, nullptr, SOCK_CLOEXEC);
            if (descriptor < 0) {
                if (m_stopped) {
                    return;
                }
                continue;
            }
            std::thread([shared = m_shared, handler = m_handler, descriptor] {
                {
                    const std::scoped_lock lock(shared->mutex);
                    shared->open.insert(descriptor);
                }
                Socket socket(descriptor);
                socket.noDelay();
                handler(socket);
                const std::scoped_lock lock(shared->mutex);
                shared->open.erase(descriptor);
                socket.close();
            }).detach();
        }
    }

    std::string m_ip;
    Handler m_handler;
    int m_descriptor = -1;
    int m_port = 0;
    std::atomic<bool> m_stopped{true};
    std::thread m_thread;
    std::shared_ptr<Shared> m_shared = std::make_shared<Shared>();
};

inline std::string base64(const std::string &text)
{
    static const char *digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t it = 0; it < text.size(); it += 3) {
        std::uint32_t group = 0;
        for (std::size_t n = 0; n < 3; ++n) {
            group = group << 8U | (it + n < text.size() ? static_cast<unsigned char>(text[it + n]) : 0U);
        }
        for (std::size_t n = 0; n < 4; ++n) {
            out += it + n <= text.size() ? digits[group >> (18 - 6 * n) & 63U] : '=';
        }
    }
    return out;
}

inline std::string bigEndian(std::uint64_t value, int bytes)
{
    std::string text;
    for (int it = bytes - 1; it >= 0; --it) {
        text += static_cast<char>(value >> (8 * it) & 0xffU);
    }
    return text;
}

inline std::string queryValue(const std::string &target, const std::string &name)
{
    const std::size_t query = target.find('?');
    std::size_t at = query == std::string::npos ? std::string::npos : target.find(name + "=", query);
    while (at != std::string::npos && target[at - 1] != '?' && target[at - 1] != '&') {
        at = target.find(name + "=", at + 1);
    }
    if (at == std::string::npos) {
        return {};
    }
    at += name.size() + 1;
    return target.substr(at, target.find('&', at) - at);
}

/// The platform's store: keyed topics, as PROTOCOL.md has them.
class Store
{
public:
    explicit Store(const std::string &ip)
        : m_server(ip, [this](Socket &socket) { serve(socket); })
    {
    }

    std::string address() const
    {
        return m_server.address();
    }
    void put(const std::string &topic, const std::string &key, const std::string &value)
    {
        append(topic, std::string(1, static_cast<char>(key.size())) + key + value);
    }
    void remove(const std::string &topic, const std::string &key)
    {
        append(topic, std::string(1, static_cast<char>(key.size())) + key);
    }

private:
    std::uint64_t append(const std::string &topic, std::string content)
    {
        const std::scoped_lock lock(m_mutex);
        std::vector<std::string> &records = m_topics[topic];
        records.push_back(std::move(content));
        m_changed.notify_all();
        return records.size();
    }

    static std::string answer(int status, const std::string &type, const std::string &body)
    {
        return "HTTP/1.1 " + std::to_string(status) + " OK\r\nContent-Type: " + type + "\r\nContent-Length: " + std::to_string(body.size())
            + "\r\n\r\n" + body;
    }

    std::string newest(const std::string &topic)
    {
        const std::scoped_lock lock(m_mutex);
        const std::vector<std::string> &records = m_topics[topic];
        std::map<std::string, std::size_t> last;
        for (std::size_t it = 0; it < records.size(); ++it) {
            last[records[it].substr(1, static_cast<unsigned char>(records[it][0]))] = it;
        }
        std::string entries;
        for (const auto &[key, offset] : last) {
            const std::string value = records[offset].substr(1 + key.size());
            if (!value.empty()) {
                entries += std::string(entries.empty() ? "" : ",") + "{\"key\":\"" + key + "\",\"data\":\"" + base64(value)
                    + "\",\"offset\":" + std::to_string(offset) + "}";
            }
        }
        return "{\"entries\":[" + entries + "],\"has_more\":false,\"end_offset\":" + std::to_string(records.size()) + "}";
    }

    std::string read(const std::string &topic, std::size_t from, int waitMs)
    {
        std::unique_lock lock(m_mutex);
        std::vector<std::string> &records = m_topics[topic];
        m_changed.wait_for(lock, Milliseconds(waitMs), [&] { return records.size() > from; });
        std::string body = bigEndian(records.size(), 8) + bigEndian(0, 8);
        for (std::size_t it = from; it < records.size(); ++it) {
            body += bigEndian(records[it].size(), 4) + records[it];
        }
        return body;
    }

    void serve(Socket &socket)
    {
        Message request;
        while (readMessage(socket, request, false) == ReadEnd::Complete) {
            const std::string target = request.word(1);
            const std::string path = target.substr(0, target.find('?'));
            const std::string topic = queryValue(target, "topic");
            std::string response = answer(404, "text/plain", "");
            if (path == "/log-newest") {
                response = answer(200, "application/json", newest(topic));
            } else if (path == "/log-read") {
                const int wait = std::atoi(queryValue(target, "wait_ms").c_str());
                response = answer(200, "application/octet-stream", read(topic, std::strtoul(queryValue(target, "from").c_str(), nullptr, 10), wait));
            } else if (path == "/log-append" && topic == "keyed.status") {
                std::size_t end = 0;
                for (std::size_t at = 0; at + 4 <= request.body.size();) {
                    std::size_t size = 0;
                    for (int it = 0; it < 4; ++it) {
                        size = size << 8U | static_cast<unsigned char>(request.body[at + static_cast<std::size_t>(it)]);
                    }
                    end = append(topic, request.body.substr(at + 4, size));
                    at += 4 + size;
                }
                response = answer(200, "application/json", "{\"offset\":" + std::to_string(end - 1) + ",\"end_offset\":" + std::to_string(end) + "}");
            } else if (path == "/log-append") {
                response = answer(403, "text/plain", "");
            }
            if (!socket.write(response)) {
                return;
            }
        }
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, std::vector<std::string>> m_topics;
    Server m_server;
};

inline std::uint64_t unixMilliseconds()
{
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<Milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count());
}

/// An engine: registers itself, and answers requests with its signature.
class Engine
{
public:
    /// Serves one request. Returns false to end the connection.
    using Behaviour = std::function<bool(Engine &, Socket &, const Message &)>;

    Engine(Store &store, std::string id, std::string service, std::string zone, Behaviour behaviour, const std::string &ip = "127.0.0.1")
        : m_store(store)
        , m_id(std::move(id))
        , m_service(std::move(service))
        , m_zone(std::move(zone))
        , m_behaviour(std::move(behaviour))
        , m_born(unixMilliseconds())
        , m_server(ip, [this](Socket &socket) { serve(socket); })
    {
        beat();
        m_beats = std::thread([this] {
            for (int it = 1; !m_ended; ++it) {
                sleepFor(50);
                if (it % 24 == 0 && !m_ended && m_registered && !m_down) {
                    beat();
                }
            }
        });
    }
    ~Engine()
    {
        m_ended = true;
        m_beats.join();
    }

    const std::string &id() const
    {
        return m_id;
    }
    std::string address() const
    {
        return m_server.address();
    }
    std::uint64_t born() const
    {
        return m_born;
    }
    Server &server()
    {
        return m_server;
    }
    /// Ends as a process does that crashes, and starts again under the same id and address after a time.
    void crash(int downMs)
    {
        if (m_down.exchange(true)) {
            return;
        }
        std::thread([this, downMs] {
            m_server.stop();
            sleepFor(downMs);
            m_born = unixMilliseconds();
            m_sequence = 0;
            m_server.listen(m_server.port());
            m_down = false;
            beat();
        }).detach();
    }
    bool isDown() const
    {
        return m_down;
    }
    void setState(const std::string &state)
    {
        m_state = state;
        beat();
    }
    void unregister()
    {
        m_registered = false;
        m_store.remove("keyed.servers", m_id);
    }

    std::string head(const Message &request, int status = 200, const std::string &more = {}) const
    {
        return "HTTP/1.1 " + std::to_string(status) + (status == 200 ? " OK" : " Status") + "\r\nX-Guavalock-Attempt-Id: " + request.header("X-Guavalock-Attempt-Id")
            + "\r\nX-Guavalock-Server-Signature: " + m_id + "." + request.header("X-Guavalock-Attempt-Id") + "\r\n" + more;
    }
    std::string answer(const Message &request, const std::string &body, int status = 200, const std::string &more = {}) const
    {
        return head(request, status, more) + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }
    std::string refusal(const Message &request, int status, const std::string &more = {}) const
    {
        return "HTTP/1.1 " + std::to_string(status) + " Refused\r\nX-Guavalock-Attempt-Id: " + request.header("X-Guavalock-Attempt-Id")
            + "\r\nX-Guavalock-Not-Executed: 1\r\n" + more + "Content-Length: 0\r\n\r\n";
    }

private:
    void beat()
    {
        m_store.put("keyed.servers", m_id,
                    "{\"service\":\"" + m_service + "\",\"address\":\"" + m_server.address() + "\",\"zone\":\"" + m_zone
                        + "\",\"version\":\"v1\",\"capacity\":64,\"state\":\"" + m_state
                        + "\",\"cold_remaining_ms\":0,\"sequence\":" + std::to_string(++m_sequence) + ",\"born\":" + std::to_string(m_born) + "}");
    }

    void serve(Socket &socket)
    {
        Message request;
        while (readMessage(socket, request, false) == ReadEnd::Complete) {
            const std::string expected = request.header("X-Guavalock-Expect-Instance");
            if (!expected.empty() && expected != m_id) {
                if (!socket.write(refusal(request, 421))) {
                    return;
                }
                continue;
            }
            if (!m_behaviour(*this, socket, request)) {
                return;
            }
        }
    }

    Store &m_store;
    std::string m_id;
    std::string m_service;
    std::string m_zone;
    Behaviour m_behaviour;
    std::atomic<std::uint64_t> m_born;
    std::atomic<bool> m_down{false};
    std::atomic<int> m_sequence{0};
    std::atomic<bool> m_ended{false};
    std::atomic<bool> m_registered{true};
    std::string m_state = "ready";
    std::thread m_beats;
    Server m_server;
};

/// The processes that the case has started, and the scratch folder.
class Cleanup
{
public:
    static Cleanup &instance()
    {
        static Cleanup cleanup;
        return cleanup;
    }

    void setFolder(const std::string &folder)
    {
        m_folder = folder;
    }
    void add(pid_t process)
    {
        const std::scoped_lock lock(m_mutex);
        m_processes.insert(process);
    }
    void remove(pid_t process)
    {
        const std::scoped_lock lock(m_mutex);
        m_processes.erase(process);
    }
    /// Ends all processes and this one, without the destructors that threads in progress may still need.
    [[noreturn]] void end(int status)
    {
        const std::scoped_lock lock(m_mutex);
        for (const pid_t it : m_processes) {
            ::kill(it, SIGKILL);
            ::waitpid(it, nullptr, 0);
        }
        std::error_code ignored;
        std::filesystem::remove_all(m_folder, ignored);
        std::fflush(nullptr);
        ::_exit(status);
    }

private:
    std::mutex m_mutex;
    std::set<pid_t> m_processes;
    std::string m_folder;
};

/// The folder of the case, and the root of the repository.
struct Place {
    std::string folder;
    std::string root;
    std::string scratch;

    static Place find(char **argv)
    {
        Place place;
        place.folder = argv[1];
        place.root = argv[2];
        char name[] = "/tmp/review-XXXXXX";
        place.scratch = mkdtemp(name);
        Cleanup::instance().setFolder(place.scratch);
        Record::instance().open(place.folder + "/record.txt");
        return place;
    }
};

/// One guavalockd, started as the deploy file says.
class Daemon
{
public:
    Daemon(const Place &place, std::string name, std::string ip, std::string zone, std::string zones, const std::string &store,
           std::string seeds = {}, const std::string &bounds = {}, int port = 18600)
        : m_place(place)
        , m_name(std::move(name))
        , m_ip(std::move(ip))
        , m_port(port)
    {
        const std::string text = "{\"node_name\":\"" + m_name + "\",\"role\":\"daemon\",\"instance_class\":\"edge\",\"serves\":[\"edge\",\"control_plane\"],"
            + "\"ip\":\"" + m_ip + "\",\"zone\":\"" + zone + "\",\"region\":\"western-lk\",\"zones\":{" + zones + "},"
            + "\"listen\":{\"frontend\":\"" + m_ip + ":" + std::to_string(port) + "\",\"readiness\":\"" + m_ip + ":" + std::to_string(port + 1)
            + "\",\"control_plane\":\"" + m_ip + ":" + std::to_string(port + 2) + "\"},\"internal_ports\":[" + std::to_string(port + 10) + ","
            + std::to_string(port + 25) + "],\"seeds\":[" + seeds + "],\"bootstrap\":true,\"counts_as_loss\":false,"
            + "\"limits\":{\"cpu_share\":0.25,\"cores\":1,\"memory_mb\":" + std::to_string(memoryMb)
            + ",\"max_fds\":4100,\"link_mbps\":1000.0,\"disk_mb\":0},\"data_dir\":null,\"discovery\":\"platform\",\"entry\":\"vip\","
            + "\"heartbeat_ms\":1200,\"contracts\":[\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"engine\",\"stream\",\"tenants\","
            + "\"places\",\"platform\",\"stages\"],\"fault_tolerance\":{\"machines\":1,\"zones\":1,\"regions\":0},\"bounds\":{"
            + (bounds.empty() ? defaultBounds() : bounds) + "},\"platform\":{\"address\":\"" + store
            + "\",\"form\":\"log\",\"writes_per_s\":400,\"reads_per_s\":2000,\"parts\":12,\"append_ms\":2.0,\"part_mb_s\":20.0,"
            + "\"read_mb_s\":80.0,\"record_bytes\":262144,\"call_bytes\":2097152,\"keep_s\":300,\"part_mb\":200,\"ttl_min_ms\":1000}}";
        m_settings = place.scratch + "/" + m_name + ".json";
        std::FILE *file = std::fopen(m_settings.c_str(), "w");
        std::fputs(text.c_str(), file);
        std::fclose(file);
        start();
    }
    ~Daemon()
    {
        kill(SIGCONT);
        kill(SIGKILL);
        wait();
    }

    static constexpr int memoryMb = 260;

    static std::string defaultBounds()
    {
        return "\"seed_lag_s\":3,\"reuse_after_s\":2,\"contact_ms\":3000,\"ack_ms\":4000,\"catch_up_s\":4,\"drain_ms\":2000,\"grace_s\":8,"
               "\"loss_slack_ms\":200,\"config_apply_ms\":2000,\"rollback_slack_ms\":250,\"max_skew_ms\":5000,\"strict_revoke\":false,"
               "\"revoke_ms\":5000,\"retry_budget_ratio\":0.2,\"budget_window_s\":10,\"retry_allowance\":52,\"cold_overage\":1.5,"
               "\"cold_tolerance\":5,\"evacuation_ms\":5000,\"recovery_s\":12,\"pass_ms\":120,\"reuse_window_s\":8.7";
    }

    void start()
    {
        const std::string log = m_place.scratch + "/" + m_name + ".log";
        const std::string program = m_place.root + "/target/bin/guavalockd";
        const std::string variable = "GUAVALOCK_NODE_FILE=" + m_settings;
        m_pid = ::fork();
        if (m_pid == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL); // The daemons end with the case, however it ends.
            const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(out, 1);
            ::dup2(out, 2);
            if (::chdir(m_place.root.c_str()) != 0) {
                ::_exit(exitNotRun);
            }
            const char *arguments[] = {program.c_str(), "--site", "platform", nullptr};
            const char *environment[] = {variable.c_str(), "PATH=/usr/bin:/bin", "LANG=C", nullptr};
            ::execve(program.c_str(), const_cast<char **>(arguments), const_cast<char **>(environment));
            ::_exit(exitNotRun);
        }
        m_running = true;
        Cleanup::instance().add(m_pid);
    }
    void kill(int signal) const
    {
        if (m_running) {
            ::kill(m_pid, signal);
        }
    }
    void wait()
    {
        if (m_running.exchange(false)) {
            Cleanup::instance().remove(m_pid);
            ::waitpid(m_pid, &m_status, 0);
        }
    }
    /// Returns whether the process still runs.
    bool running()
    {
        if (m_running && ::waitpid(m_pid, &m_status, WNOHANG) == m_pid) {
            m_running = false;
            Cleanup::instance().remove(m_pid);
        }
        return m_running;
    }
    int exitStatus() const
    {
        return m_status;
    }
    pid_t pid() const
    {
        return m_pid;
    }
    const std::string &ip() const
    {
        return m_ip;
    }
    const std::string &name() const
    {
        return m_name;
    }
    int port() const
    {
        return m_port;
    }
    bool ready(int timeoutMs = 200) const
    {
        Socket socket = Socket::connect(m_ip, m_port + 1, timeoutMs);
        Message answer;
        return socket.isOpen() && socket.write("GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            && readMessage(socket, answer, true) == ReadEnd::Complete && answer.status() == 200;
    }
    bool waitReady(int timeoutMs = 10'000) const
    {
        for (int it = 0; it < timeoutMs / 20; ++it) {
            if (ready()) {
                return true;
            }
            sleepFor(20);
        }
        return false;
    }
    std::size_t residentMb() const
    {
        std::FILE *file = std::fopen(("/proc/" + std::to_string(m_pid) + "/statm").c_str(), "r");
        if (file == nullptr) {
            return 0;
        }
        unsigned long total = 0;
        unsigned long resident = 0;
        const int n = std::fscanf(file, "%lu %lu", &total, &resident);
        std::fclose(file);
        return n == 2 ? resident * static_cast<unsigned long>(::sysconf(_SC_PAGESIZE)) / 1'048'576 : 0;
    }

private:
    Place m_place;
    std::string m_name;
    std::string m_ip;
    std::string m_settings;
    int m_port;
    pid_t m_pid = 0;
    std::atomic<bool> m_running{false};
    int m_status = 0;
};

/// A route of the configuration.
inline std::string routeText(const std::string &name, const std::string &prefix, const std::string &type, const std::string &service,
                             int timeoutMs, int objectiveMs, int maxAttempts, const std::string &more = {})
{
    return "{\"name\":\"" + name + "\",\"hostname\":\"desk.example\",\"path_prefix\":\"" + prefix + "\",\"type\":\"" + type
        + "\",\"timeout_ms\":" + std::to_string(timeoutMs) + ",\"target_latency_ms\":" + std::to_string(objectiveMs)
        + ",\"priority\":2,\"service\":\"" + service + "\",\"max_attempts\":" + std::to_string(maxAttempts) + ",\"public\":false" + more + "}";
}

inline std::string serviceText(const std::string &name, int maxConnections = 360)
{
    return "{\"name\":\"" + name + "\",\"health_path\":\"/healthz\",\"max_connections\":" + std::to_string(maxConnections)
        + ",\"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":0.0,\"cold_per_s\":0}";
}

inline std::string configurationText(int version, const std::string &routes, const std::string &services)
{
    return "{\"version\":" + std::to_string(version) + ",\"routes\":[" + routes + "],\"services\":[" + services
        + "],\"limits\":{\"max_header_bytes\":32768,\"max_body_bytes\":4194304,\"header_timeout_ms\":5000,\"idle_timeout_ms\":30000},"
        + "\"tenants\":[{\"name\":\"estate\",\"api_keys\":[\"key-of-estate\"]}]}";
}

inline std::string requestText(const std::string &method, const std::string &path, const std::string &id, int deadlineMs, const std::string &body,
                               const std::string &more = {})
{
    return method + " " + path + " HTTP/1.1\r\nHost: desk.example\r\nX-Guavalock-Attempt-Id: " + id + "\r\nX-Guavalock-Deadline-Ms: "
        + std::to_string(deadlineMs) + "\r\nApi-Key: key-of-estate\r\n" + more
        + (method == "GET" ? "" : "Content-Length: " + std::to_string(body.size()) + "\r\n") + "\r\n" + body;
}

[[noreturn]] inline void finish(bool broken, const char *rule)
{
    say("%s: %s", rule, broken ? "BROKEN" : "held");
    Cleanup::instance().end(broken ? exitBroken : exitHeld);
}

[[noreturn]] inline void giveUp(const char *reason)
{
    say("the case can't run: %s", reason);
    Cleanup::instance().end(exitNotRun);
}

} // namespace Kit
