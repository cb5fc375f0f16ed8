// Callers with kept connections beside a disruption, and the platform's limit on the memory of a process.
#pragma once

#include "Scene.h"

namespace Rig
{

/// Callers that book one after the other, each on its own kept connection. Their engine is sound.
class Bystanders
{
public:
    Bystanders(Daemon &daemon, PlainEngine &engine, int callers)
        : m_daemon(daemon)
        , m_engine(engine)
    {
        for (int it = 0; it < callers; ++it) {
            m_threads.emplace_back([this, it] { send(it); });
        }
    }

    void stop()
    {
        m_stopped = true;
        for (std::thread &it : m_threads) {
            it.join();
        }
        m_threads.clear();
    }

    int answered() const
    {
        return m_answered;
    }

    /// Requests of kept connections that the engine ran, and whose connection ended without an answer.
    int lost()
    {
        const std::scoped_lock lock(m_mutex);
        int lost = 0;
        for (const std::string &it : m_unanswered) {
            lost += m_engine.hasRun(it) ? 1 : 0;
        }
        return lost;
    }

private:
    void send(int caller)
    {
        std::unique_ptr<Stream> stream;
        int onConnection = 0;
        for (int n = 0; !m_stopped; ++n) {
            if (!stream || !stream->isOpen()) {
                stream = connect(m_daemon.place().ip, m_daemon.callers());
                onConnection = 0;
                if (!stream->isOpen()) {
                    pause(Ms(100));
                    continue;
                }
            }
            Request request;
            request.path = "/book/x";
            request.id = "book-" + std::to_string(caller) + '-' + std::to_string(n);
            request.deadlineMs = 4'000;
            request.body = "booking";
            const double at = seconds();
            const Message answer = exchange(*stream, request);
            record.line("caller " + std::to_string(caller) + ": " + request.id + ", sent at " + std::to_string(at) + ", got "
                        + (answer.first.empty() ? "no answer" : answer.first));
            if (answer.first.empty()) {
                // An end of the connection; the deadline of 4 s is far above the service time.
                if (onConnection > 0 && seconds() - at < 3.9) {
                    const std::scoped_lock lock(m_mutex);
                    m_unanswered.push_back(request.id);
                }
                stream->close();
                continue;
            }
            m_answered += answer.status() == 200 ? 1 : 0;
            ++onConnection;
            if (!answer.complete || ::strcasecmp(answer.header("Connection").c_str(), "close") == 0) {
                stream->close();
            }
        }
    }

    Daemon &m_daemon;
    PlainEngine &m_engine;
    std::atomic<bool> m_stopped{false};
    std::atomic<int> m_answered{0};
    std::mutex m_mutex;
    std::vector<std::string> m_unanswered;
    std::vector<std::thread> m_threads;
};

/// Kills the daemon's process when its resident memory exceeds `memory_mb`, and starts it again, as the platform does.
class MemoryLimit
{
public:
    explicit MemoryLimit(Daemon &daemon)
        : m_daemon(daemon)
        , m_thread([this] { watch(); })
    {
    }

    void stop()
    {
        m_stopped = true;
        m_thread.join();
    }

    int kills() const
    {
        return m_kills;
    }

    double peak() const
    {
        return m_peak;
    }

private:
    void watch()
    {
        double noted = 0;
        while (!m_stopped) {
            const double used = m_daemon.residentMegabytes();
            m_peak = std::max(m_peak.load(), used);
            if (used > noted + 20) {
                noted = used;
                record.line("the daemon's memory: " + std::to_string(static_cast<int>(used)) + " MB");
            }
            if (used > m_daemon.place().memoryMegabytes) {
                record.line("the platform kills the process, which exceeds memory_mb = " + std::to_string(m_daemon.place().memoryMegabytes));
                m_daemon.killAndWait();
                ++m_kills;
                noted = 0;
                pause(Ms(500));
                m_daemon.start();
            }
            pause(Ms(20));
        }
    }

    Daemon &m_daemon;
    std::atomic<bool> m_stopped{false};
    std::atomic<int> m_kills{0};
    std::atomic<double> m_peak{0};
    std::thread m_thread;
};

} // namespace Rig
