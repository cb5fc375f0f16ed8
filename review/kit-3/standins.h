// Stand-ins for a review case: the platform's store, engines, clients, and the control of daemon processes.
//
// Everything runs on loopback addresses and the real clock. A connection is served by a thread of its own.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace Review
{

using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Milliseconds = std::chrono::milliseconds;

inline const TimePoint processStart = Clock::now();

inline std::int64_t sinceStart(TimePoint time = Clock::now())
{
    return std::chrono::duration_cast<Milliseconds>(time - processStart).count();
}

inline void sleepFor(int milliseconds)
{
    std::this_thread::sleep_for(Milliseconds(milliseconds));
}

/// Collects the lines of record.txt.
class Record
{
public:
    explicit Record(const std::string &path)
        : m_file(path)
    {
    }

    void line(const std::string &text, TimePoint time = Clock::now())
    {
        const std::scoped_lock lock(m_mutex);
        char stamp[32];
        std::snprintf(stamp, sizeof stamp, "%9.3f ", static_cast<double>(sinceStart(time)) / 1000);
        m_file << stamp << text << '\n' << std::flush;
    }

private:
    std::mutex m_mutex;
    std::ofstream m_file;
};

inline std::string randomId()
{
    static std::mutex mutex;
    static std::mt19937_64 random(std::random_device{}());
    const std::scoped_lock lock(mutex);
    char text[17];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(random()));
    return text;
}

struct Address {
    std::string ip;
    std::uint16_t port = 0;

    std::string text() const
    {
        return ip + ':' + std::to_string(port);
    }
};

inline sockaddr_in toSockaddr(const Address &address)
{
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(address.port);
    inet_pton(AF_INET, address.ip.c_str(), &out.sin_addr);
    return out;
}

/// Returns an address on the IP that nothing listens on.
inline Address freeAddress(const std::string &ip)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in local = toSockaddr({ip, 0});
    socklen_t size = sizeof local;
    if (::bind(fd, reinterpret_cast<sockaddr *>(&local), size) != 0) {
        std::perror("bind");
        std::exit(2);
    }
    ::getsockname(fd, reinterpret_cast<sockaddr *>(&local), &size);
    ::close(fd);
    return {ip, ntohs(local.sin_port)};
}

/// A loopback network of this run; each daemon has an IP of its own, since all of them use the same ports.
inline std::string loopbackIp(int host)
{
    static const int subnet = 1 + static_cast<int>(std::random_device{}() % 200);
    static const int net = 10 + static_cast<int>(std::random_device{}() % 200);
    return "127." + std::to_string(net) + '.' + std::to_string(subnet) + '.' + std::to_string(host);
}

struct Message {
    std::string startLine;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    std::string header(const std::string &name) const
    {
        for (const auto &[key, value] : headers) {
            if (strcasecmp(key.c_str(), name.c_str()) == 0) {
                return value;
            }
        }
        return {};
    }

    std::string word(int index) const
    {
        std::istringstream in(startLine);
        std::string found;
        for (int it = 0; it <= index; ++it) {
            in >> found;
        }
        return found;
    }

    std::string method() const
    {
        return word(0);
    }

    std::string target() const
    {
        return word(1);
    }

    int status() const
    {
        return std::atoi(word(1).c_str());
    }
};

/// A connected socket with a read buffer.
class Stream
{
public:
    explicit Stream(int fd)
        : m_fd(fd)
    {
        const int on = 1;
        ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }

    ~Stream()
    {
        ::close(m_fd);
    }

    Stream(const Stream &) = delete;
    Stream &operator=(const Stream &) = delete;

    static std::unique_ptr<Stream> connect(const Address &address, int timeoutMs)
    {
        const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        ::fcntl(fd, F_SETFL, O_NONBLOCK);
        const sockaddr_in remote = toSockaddr(address);
        if (::connect(fd, reinterpret_cast<const sockaddr *>(&remote), sizeof remote) != 0 && errno != EINPROGRESS) {
            ::close(fd);
            return nullptr;
        }
        pollfd poller{fd, POLLOUT, 0};
        int error = 0;
        socklen_t size = sizeof error;
        if (::poll(&poller, 1, timeoutMs) != 1 || ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
            ::close(fd);
            return nullptr;
        }
        ::fcntl(fd, F_SETFL, 0);
        return std::make_unique<Stream>(fd);
    }

    void setDeadline(TimePoint deadline)
    {
        m_deadline = deadline;
    }

    bool send(const std::string &text)
    {
        std::size_t sent = 0;
        while (sent < text.size()) {
            const ssize_t n = ::send(m_fd, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
            if (n <= 0) {
                return false;
            }
            sent += static_cast<std::size_t>(n);
        }
        return true;
    }

    /// Reads more bytes into the buffer. Returns false at the end, after an error or at the deadline.
    bool fill()
    {
        while (true) {
            const auto left = std::chrono::duration_cast<Milliseconds>(m_deadline - Clock::now()).count();
            pollfd poller{m_fd, POLLIN, 0};
            const int ready = ::poll(&poller, 1, static_cast<int>(std::clamp<std::int64_t>(left, 0, 1'000)));
            if (ready == 0 && left > 1'000) {
                continue;
            }
            if (ready <= 0) {
                m_timedOut = true;
                return false;
            }
            break;
        }
        char buf[16384];
        const ssize_t n = ::recv(m_fd, buf, sizeof buf, 0);
        if (n <= 0) {
            return false;
        }
        m_buffer.append(buf, static_cast<std::size_t>(n));
        return true;
    }

    bool readHead(Message &message)
    {
        std::size_t end = std::string::npos;
        while ((end = m_buffer.find("\r\n\r\n")) == std::string::npos) {
            if (!fill()) {
                return false;
            }
        }
        std::istringstream in(m_buffer.substr(0, end + 2));
        m_buffer.erase(0, end + 4);
        std::string line;
        std::getline(in, line);
        message.startLine = line.substr(0, line.find('\r'));
        while (std::getline(in, line)) {
            const std::size_t colon = line.find(':');
            const std::string value = line.substr(colon + 1, line.find('\r') - colon - 1);
            message.headers.emplace_back(line.substr(0, colon), value.substr(std::min(value.find_first_not_of(' '), value.size())));
        }
        return true;
    }

    bool readExactly(std::size_t size, std::string &out)
    {
        while (m_buffer.size() < size) {
            if (!fill()) {
                return false;
            }
        }
        out += m_buffer.substr(0, size);
        m_buffer.erase(0, size);
        return true;
    }

    bool readLine(std::string &out)
    {
        std::size_t end = std::string::npos;
        while ((end = m_buffer.find("\r\n")) == std::string::npos) {
            if (!fill()) {
                return false;
            }
        }
        out = m_buffer.substr(0, end);
        m_buffer.erase(0, end + 2);
        return true;
    }

    /// Reads a body with a length or in chunks. A message without either has none.
    bool readBody(Message &message, const std::function<void(const std::string &)> &onChunk = {})
    {
        if (strcasecmp(message.header("Transfer-Encoding").c_str(), "chunked") != 0) {
            return readExactly(std::strtoul(message.header("Content-Length").c_str(), nullptr, 10), message.body);
        }
        while (true) {
            std::string line;
            if (!readLine(line)) {
                return false;
            }
            const std::size_t size = std::strtoul(line.c_str(), nullptr, 16);
            std::string data;
            if (!readExactly(size, data) || !readLine(line)) {
                return false;
            }
            if (size == 0) {
                return true;
            }
            message.body += data;
            if (onChunk) {
                onChunk(data);
            }
        }
    }

    bool timedOut() const
    {
        return m_timedOut;
    }

    int fd() const
    {
        return m_fd;
    }

    /// Makes the end of the connection a reset.
    void resetOnClose()
    {
        const linger option{1, 0};
        ::setsockopt(m_fd, SOL_SOCKET, SO_LINGER, &option, sizeof option);
    }

private:
    int m_fd;
    std::string m_buffer;
    TimePoint m_deadline = Clock::now() + std::chrono::hours(1);
    bool m_timedOut = false;
};

inline std::string response(int status, const std::string &headers, const std::string &body)
{
    return "HTTP/1.1 " + std::to_string(status) + " Status\r\n" + headers + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n"
        + body;
}

/// An HTTP server that can crash: it then closes its listener and all connections.
class Server
{
public:
    using Handler = std::function<bool(Stream &, const Message &)>; ///< Returns whether the connection stays open.

    Server(Address address, Handler handler)
        : m_address(std::move(address))
        , m_handler(std::move(handler))
    {
    }

    ~Server()
    {
        stop();
    }

    const Address &address() const
    {
        return m_address;
    }

    void start()
    {
        m_listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        ::setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        const sockaddr_in local = toSockaddr(m_address);
        if (::bind(m_listener, reinterpret_cast<const sockaddr *>(&local), sizeof local) != 0 || ::listen(m_listener, 1024) != 0) {
            std::perror(("listen on " + m_address.text()).c_str());
            std::exit(2);
        }
        m_running = true;
        m_thread = std::thread([this] { accept(); });
    }

    /// Ends the listener and all connections. Handlers in progress find their connections closed.
    void stop()
    {
        if (!m_running.exchange(false)) {
            return;
        }
        ::shutdown(m_listener, SHUT_RDWR);
        m_thread.join();
        ::close(m_listener);
        std::unique_lock lock(m_state->mutex);
        for (Stream *it : m_state->streams) {
            it->resetOnClose();
            ::shutdown(it->fd(), SHUT_RDWR);
        }
        // Handlers use objects that may be destroyed after this.
        m_state->ended.wait(lock, [this] { return m_state->connections == 0; });
    }

private:
    struct State {
        std::mutex mutex;
        std::condition_variable ended;
        std::set<Stream *> streams;
        int connections = 0;
    };

    void accept()
    {
        while (m_running) {
            const int fd = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0) {
                if (!m_running) {
                    return;
                }
                sleepFor(5);
                continue;
            }
            {
                const std::scoped_lock lock(m_state->mutex);
                ++m_state->connections;
            }
            std::thread([state = m_state, handler = m_handler, fd] {
                {
                    Stream stream(fd);
                    {
                        const std::scoped_lock lock(state->mutex);
                        state->streams.insert(&stream);
                    }
                    while (true) {
                        Message request;
                        if (!stream.readHead(request) || !stream.readBody(request) || !handler(stream, request)) {
                            break;
                        }
                    }
                    const std::scoped_lock lock(state->mutex);
                    state->streams.erase(&stream);
                }
                const std::scoped_lock lock(state->mutex);
                --state->connections;
                state->ended.notify_all();
            }).detach();
        }
    }

    Address m_address;
    Handler m_handler;
    std::shared_ptr<State> m_state = std::make_shared<State>();
    std::atomic<bool> m_running{false};
    int m_listener = -1;
    std::thread m_thread;
};

inline std::string base64(const std::string &in)
{
    static const char *const digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t it = 0; it < in.size(); it += 3) {
        std::uint32_t n = 0;
        for (std::size_t k = 0; k < 3; ++k) {
            n = n << 8U | (it + k < in.size() ? static_cast<unsigned char>(in[it + k]) : 0U);
        }
        out += digits[n >> 18U];
        out += digits[n >> 12U & 63U];
        out += it + 1 < in.size() ? digits[n >> 6U & 63U] : '=';
        out += it + 2 < in.size() ? digits[n & 63U] : '=';
    }
    return out;
}

inline std::string bigEndian(std::uint64_t value, int bytes)
{
    std::string out;
    for (int it = bytes - 1; it >= 0; --it) {
        out += static_cast<char>(value >> (8 * it) & 0xFF);
    }
    return out;
}

inline std::string urlDecode(const std::string &text)
{
    std::string out;
    for (std::size_t it = 0; it < text.size(); ++it) {
        if (text[it] == '%' && it + 2 < text.size()) {
            out += static_cast<char>(std::strtol(text.substr(it + 1, 2).c_str(), nullptr, 16));
            it += 2;
        } else {
            out += text[it];
        }
    }
    return out;
}

/// The platform's store: keyed topics with offsets, long reads and the newest record of each key.
class Store
{
public:
    explicit Store(const Address &address)
        : m_server(address, [this](Stream &stream, const Message &request) { return handle(stream, request); })
    {
    }

    void start()
    {
        m_server.start();
    }

    const Address &address() const
    {
        return m_server.address();
    }

    /// Serves the same records at another address as well.
    void startAlsoAt(const Address &address)
    {
        m_second = std::make_unique<Server>(address, [this](Stream &stream, const Message &request) { return handle(stream, request); });
        m_second->start();
    }

    /// Ends the first address.
    void stopFirst()
    {
        m_server.stop();
    }

    void put(const std::string &topic, const std::string &key, const std::string &value)
    {
        {
            const std::scoped_lock lock(m_mutex);
            append(topic, key, value);
        }
        m_changed.notify_all();
    }

private:
    struct Topic {
        std::vector<std::string> records;
        std::map<std::string, std::pair<std::uint64_t, std::string>> newest;
    };

    void append(const std::string &topic, const std::string &key, const std::string &value)
    {
        Topic &it = m_topics[topic];
        const std::string content = std::string(1, static_cast<char>(key.size())) + key + value;
        it.records.push_back(bigEndian(content.size(), 4) + content);
        if (value.empty()) {
            it.newest.erase(key);
        } else {
            it.newest[key] = {it.records.size() - 1, value};
        }
    }

    static std::string parameter(const std::string &target, const std::string &name)
    {
        const std::string query = '&' + target.substr(std::min(target.find('?'), target.size() - 1) + 1) + '&';
        const std::size_t begin = query.find('&' + name + '=');
        if (begin == std::string::npos) {
            return {};
        }
        const std::size_t value = begin + name.size() + 2;
        return urlDecode(query.substr(value, query.find('&', value) - value));
    }

    bool handle(Stream &stream, const Message &request)
    {
        sleepFor(4);
        const std::string target = request.target();
        const std::string call = target.substr(0, target.find('?'));
        const std::string topic = parameter(target, "topic");
        std::unique_lock lock(m_mutex);
        if (call == "/log-newest") {
            std::string entries;
            for (const auto &[key, value] : m_topics[topic].newest) {
                entries += std::string(entries.empty() ? "" : ",") + "{\"key\":\"" + key + "\",\"data\":\"" + base64(value.second)
                    + "\",\"offset\":" + std::to_string(value.first) + '}';
            }
            const std::string body = "{\"entries\":[" + entries
                + "],\"has_more\":false,\"end_offset\":" + std::to_string(m_topics[topic].records.size()) + '}';
            lock.unlock();
            return stream.send(response(200, "Content-Type: application/json\r\n", body));
        }
        if (call == "/log-read") {
            const std::size_t from = std::strtoul(parameter(target, "from").c_str(), nullptr, 10);
            const int wait = std::atoi(parameter(target, "wait_ms").c_str());
            m_changed.wait_for(lock, Milliseconds(wait), [&] { return m_topics[topic].records.size() > from; });
            const Topic &it = m_topics[topic];
            std::string body = bigEndian(it.records.size(), 8) + bigEndian(0, 8);
            for (std::size_t n = from; n < it.records.size(); ++n) {
                body += it.records[n];
            }
            lock.unlock();
            return stream.send(response(200, "", body));
        }
        if (call == "/log-append") {
            const std::size_t first = m_topics[topic].records.size();
            for (std::size_t at = 0; at + 4 < request.body.size();) {
                std::size_t size = 0;
                for (int k = 0; k < 4; ++k) {
                    size = size << 8U | static_cast<unsigned char>(request.body[at + static_cast<std::size_t>(k)]);
                }
                const std::string content = request.body.substr(at + 4, size);
                const std::size_t keySize = static_cast<unsigned char>(content[0]);
                append(topic, content.substr(1, keySize), content.substr(1 + keySize));
                at += 4 + size;
            }
            const std::size_t end = m_topics[topic].records.size();
            lock.unlock();
            m_changed.notify_all();
            return stream.send(response(200, "Content-Type: application/json\r\n",
                                        "{\"offset\":" + std::to_string(first) + ",\"end_offset\":" + std::to_string(end) + '}'));
        }
        lock.unlock();
        return stream.send(response(404, "", ""));
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, Topic> m_topics;
    Server m_server;
    std::unique_ptr<Server> m_second;
};

/// What an engine tells of itself in the store, written at each heartbeat and at each change.
class EngineEntry
{
public:
    EngineEntry(Store &store, std::string id, std::string service, Address address, std::string zone, int capacity)
        : m_store(store)
        , m_id(std::move(id))
        , m_service(std::move(service))
        , m_address(std::move(address))
        , m_zone(std::move(zone))
        , m_capacity(capacity)
    {
    }

    ~EngineEntry()
    {
        m_ended = true;
        if (m_thread.joinable()) {
            m_thread.join();
        }
    }

    /// Begins an incarnation, which is cold for the given time.
    void begin(int coldMs)
    {
        {
            const std::scoped_lock lock(m_mutex);
            m_born = std::chrono::duration_cast<Milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
            m_sequence = 0;
            m_coldUntil = Clock::now() + Milliseconds(coldMs);
            m_alive = true;
        }
        write();
        if (!m_thread.joinable()) {
            m_thread = std::thread([this] {
                while (!m_ended) {
                    for (int it = 0; it < 24 && !m_ended; ++it) {
                        sleepFor(50);
                    }
                    write();
                }
            });
        }
    }

    /// A crashed engine writes nothing.
    void crash()
    {
        const std::scoped_lock lock(m_mutex);
        m_alive = false;
    }

    bool isCold(TimePoint now) const
    {
        const std::scoped_lock lock(m_mutex);
        return m_alive && now < m_coldUntil;
    }

    TimePoint coldUntil() const
    {
        const std::scoped_lock lock(m_mutex);
        return m_coldUntil;
    }

    const std::string &id() const
    {
        return m_id;
    }

private:
    void write()
    {
        std::string value;
        {
            const std::scoped_lock lock(m_mutex);
            if (!m_alive) {
                return;
            }
            const auto cold = std::max<std::int64_t>(std::chrono::duration_cast<Milliseconds>(m_coldUntil - Clock::now()).count(), 0);
            value = "{\"service\":\"" + m_service + "\",\"address\":\"" + m_address.text() + "\",\"zone\":\"" + m_zone
                + "\",\"version\":\"v1\",\"capacity\":" + std::to_string(m_capacity) + ",\"state\":\"ready\",\"cold_remaining_ms\":"
                + std::to_string(cold) + ",\"sequence\":" + std::to_string(++m_sequence) + ",\"born\":" + std::to_string(m_born) + '}';
        }
        m_store.put("keyed.servers", m_id, value);
    }

    Store &m_store;
    const std::string m_id;
    const std::string m_service;
    const Address m_address;
    const std::string m_zone;
    const int m_capacity;
    mutable std::mutex m_mutex;
    std::int64_t m_born = 0;
    std::uint64_t m_sequence = 0;
    TimePoint m_coldUntil;
    bool m_alive = false;
    std::atomic<bool> m_ended{false};
    std::thread m_thread;
};

/// A daemon as a process, started with the command of the deploy file and started again when it ends, as the platform does.
class Daemon
{
public:
    struct Plan {
        std::string name;
        std::string zone;
        std::string ip;
        std::uint16_t frontend = 8625;
        std::uint16_t readiness = 8621;
        std::uint16_t controlPlane = 8628;
        std::uint16_t peers = 7740;
        Address store;
        std::vector<std::string> seedIps;
        std::string folder;
        int allowance = 52;
    };

    explicit Daemon(Plan plan)
        : m_plan(std::move(plan))
    {
        writeSettings(m_plan.store);
        start();
        m_thread = std::thread([this] { restartAsNeeded(); });
    }

    ~Daemon()
    {
        m_ended = true;
        m_thread.join();
        ::kill(m_pid, SIGKILL);
        ::waitpid(m_pid, nullptr, 0);
    }

    /// Replaces the settings file, as the platform does when the settings change.
    void writeSettings(const Address &store) const
    {
        std::string seeds;
        for (const std::string &it : m_plan.seedIps) {
            seeds += std::string(seeds.empty() ? "" : ",") + '"' + Address{it, m_plan.controlPlane}.text() + '"';
        }
        const auto at = [&](std::uint16_t port) {
            return '"' + Address{m_plan.ip, port}.text() + '"';
        };
        std::ofstream(settingsPath() + ".new")
            << "{\"node_name\":\"" << m_plan.name
            << "\",\"role\":\"daemon\",\"instance_class\":\"edge\",\"serves\":[\"edge\",\"control_plane\"],"
            << "\"ip\":\"" << m_plan.ip << "\",\"zone\":\"" << m_plan.zone
            << "\",\"region\":\"western-lk\",\"listen\":{\"frontend\":" << at(m_plan.frontend) << ",\"readiness\":" << at(m_plan.readiness)
            << ",\"control_plane\":" << at(m_plan.controlPlane) << "},\"internal_ports\":[" << m_plan.peers << ',' << m_plan.peers + 15
            << "],\"seeds\":[" << seeds
            << "],\"bootstrap\":true,\"limits\":{\"cpu_share\":0.25,\"cores\":1,\"memory_mb\":260,\"max_fds\":4100,\"link_mbps\":1000.0,"
            << "\"disk_mb\":0},\"discovery\":\"platform\",\"entry\":\"vip\",\"heartbeat_ms\":1200,\"bounds\":{\"contact_ms\":3000,"
            << "\"drain_ms\":2000,\"grace_s\":8,\"config_apply_ms\":2000,\"retry_budget_ratio\":0.2,\"budget_window_s\":10,"
            << "\"retry_allowance\":" << m_plan.allowance << ",\"cold_overage\":1.5,\"cold_tolerance\":5,\"evacuation_ms\":5000,"
            << "\"recovery_s\":12},\"platform\":{\"address\":\"" << store.text()
            << "\",\"form\":\"log\",\"writes_per_s\":400,\"reads_per_s\":2000,\"keep_s\":300}}\n";
        std::filesystem::rename(settingsPath() + ".new", settingsPath());
    }

    void signal(int number)
    {
        const std::scoped_lock lock(m_mutex);
        if (m_alive) {
            ::kill(m_pid, number);
        }
    }

    bool isReady() const
    {
        const auto stream = Stream::connect({m_plan.ip, m_plan.readiness}, 500);
        Message answer;
        if (!stream || !stream->send("GET /readyz HTTP/1.1\r\nHost: r\r\n\r\n")) {
            return false;
        }
        stream->setDeadline(Clock::now() + std::chrono::seconds(1));
        return stream->readHead(answer) && answer.status() == 200;
    }

    Address frontend() const
    {
        return {m_plan.ip, m_plan.frontend};
    }

    const std::string &name() const
    {
        return m_plan.name;
    }

    unsigned starts() const
    {
        return m_starts;
    }

private:
    std::string settingsPath() const
    {
        return m_plan.folder + '/' + m_plan.name + ".json";
    }

    void start()
    {
        const std::string log = m_plan.folder + '/' + m_plan.name + ".log";
        std::string file = "GUAVALOCK_NODE_FILE=" + settingsPath();
        char path[] = "PATH=/usr/bin:/bin";
        char program[] = "target/bin/guavalockd";
        char option[] = "--site";
        char site[] = "platform";
        char *const arguments[] = {program, option, site, nullptr};
        char *const environment[] = {path, file.data(), nullptr};
        const pid_t pid = ::fork();
        if (pid == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(out, 1);
            ::dup2(out, 2);
            ::execve(program, arguments, environment);
            ::_exit(127);
        }
        const std::scoped_lock lock(m_mutex);
        m_pid = pid;
        m_alive = true;
        ++m_starts;
    }

    void restartAsNeeded()
    {
        while (!m_ended) {
            int status = 0;
            bool exited = false;
            {
                const std::scoped_lock lock(m_mutex);
                exited = ::waitpid(m_pid, &status, WNOHANG) == m_pid;
                m_alive = m_alive && !exited;
            }
            if (exited) {
                if (WIFEXITED(status) && WEXITSTATUS(status) == 127) {
                    std::fprintf(stderr, "target/bin/guavalockd cannot be started\n");
                    std::_Exit(2);
                }
                sleepFor(500);
                start();
            }
            sleepFor(20);
        }
    }

    const Plan m_plan;
    std::mutex m_mutex;
    pid_t m_pid = -1;
    bool m_alive = false;
    std::atomic<unsigned> m_starts{0};
    std::atomic<bool> m_ended{false};
    std::thread m_thread;
};

/// What a client saw of one attempt.
struct Answer {
    TimePoint sent;
    TimePoint ended;
    int status = 0; ///< 0 if no head arrived.
    bool complete = false;
    Message message;
};

struct ClientRequest {
    std::string method = "GET";
    std::string host;
    std::string path;
    std::string id = randomId();
    std::string headers; ///< Further header lines.
    std::string body;
    int deadlineMs = 3'000;
};

/// Sends a request on a new connection. Gives up at the deadline.
inline Answer ask(const Address &address, const ClientRequest &request)
{
    Answer answer;
    answer.sent = Clock::now();
    const auto stream = Stream::connect(address, 1'000);
    if (stream) {
        stream->setDeadline(answer.sent + Milliseconds(request.deadlineMs));
        const std::string length = request.body.empty() ? "" : "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
        const bool sent = stream->send(request.method + ' ' + request.path + " HTTP/1.1\r\nHost: " + request.host
                                       + "\r\nX-Guavalock-Attempt-Id: " + request.id + "\r\nX-Guavalock-Deadline-Ms: "
                                       + std::to_string(request.deadlineMs) + "\r\n" + request.headers + length + "\r\n" + request.body);
        if (sent && stream->readHead(answer.message)) {
            answer.status = answer.message.status();
            answer.complete = stream->readBody(answer.message);
        }
    }
    answer.ended = Clock::now();
    return answer;
}

/// The folder of a run's settings and logs, removed at its end.
class TemporaryFolder
{
public:
    TemporaryFolder()
    {
        char text[] = "/tmp/guavalock-review-XXXXXX";
        m_path = ::mkdtemp(text);
    }

    ~TemporaryFolder()
    {
        if (std::getenv("KEEP") == nullptr) {
            std::filesystem::remove_all(m_path);
        } else {
            std::fprintf(stderr, "kept %s\n", m_path.c_str());
        }
    }

    const std::string &path() const
    {
        return m_path;
    }

private:
    std::string m_path;
};

inline bool hasTrouble()
{
    const char *const value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

/// Starts daemons on loopback addresses of their own, with ports that are free on all of them.
inline std::vector<std::unique_ptr<Daemon>> startDaemons(int count, const Store &store, const std::string &folder, int allowance = 52)
{
    static const char *const zones[] = {"peliyagoda", "ja-ela", "kelaniya", "wattala"};
    std::vector<std::string> ips;
    for (int it = 0; it < count; ++it) {
        ips.push_back(loopbackIp(it + 10));
    }
    std::vector<std::unique_ptr<Daemon>> daemons;
    Daemon::Plan plan;
    plan.frontend = freeAddress(ips.front()).port;
    plan.readiness = freeAddress(ips.front()).port;
    plan.controlPlane = freeAddress(ips.front()).port;
    plan.peers = freeAddress(ips.front()).port;
    plan.store = store.address();
    plan.folder = folder;
    plan.allowance = allowance;
    plan.seedIps.assign(ips.begin(), ips.begin() + std::min(count, 3));
    for (int it = 0; it < count; ++it) {
        plan.zone = zones[it % 4];
        plan.name = "edge-" + plan.zone + '-' + std::to_string(1 + it / 4);
        plan.ip = ips[static_cast<std::size_t>(it)];
        daemons.push_back(std::make_unique<Daemon>(plan));
    }
    return daemons;
}

/// Waits until all daemons are ready.
inline bool awaitReady(const std::vector<std::unique_ptr<Daemon>> &daemons, int timeoutMs)
{
    const TimePoint end = Clock::now() + Milliseconds(timeoutMs);
    while (Clock::now() < end) {
        if (std::ranges::all_of(daemons, [](const auto &it) { return it->isReady(); })) {
            return true;
        }
        sleepFor(100);
    }
    return false;
}

} // namespace Review
