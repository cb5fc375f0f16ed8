// What several cases share: the configuration of a small deployment and engines that answer plain requests.
#pragma once

#include "Rig.h"

namespace Rig
{

struct Route {
    std::string name;
    std::string path; ///< Begins and ends with a slash.
    std::string type;
    std::string service;
    int timeoutMs = 1'500;
    int objectiveMs = 500;
    int attempts = 1;
    std::string more; ///< Further fields, beginning with a comma.
};

inline std::string configuration(int version, const std::vector<Route> &routes, const std::vector<std::string> &services,
                                 const std::vector<std::string> &keys)
{
    std::string text = "{\"version\":" + std::to_string(version) + ",\"routes\":[";
    for (const Route &it : routes) {
        text += (text.back() == '[' ? "" : ",") + std::string("{\"name\":\"") + it.name + "\",\"hostname\":\"h.example\",\"path_prefix\":\"" + it.path
            + "\",\"type\":\"" + it.type + "\",\"timeout_ms\":" + std::to_string(it.timeoutMs) + ",\"target_latency_ms\":"
            + std::to_string(it.objectiveMs) + ",\"priority\":0,\"service\":\"" + it.service + "\",\"max_attempts\":" + std::to_string(it.attempts)
            + ",\"public\":false" + it.more + '}';
    }
    text += "],\"services\":[";
    for (const std::string &it : services) {
        text += (text.back() == '[' ? "" : ",") + std::string("{\"name\":\"") + it
            + "\",\"health_path\":\"/healthz\",\"max_connections\":280,\"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":0.0,\"cold_per_s\":0.0}";
    }
    text += "],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":5000,\"idle_timeout_ms\":20000},\"tenants\":[";
    for (const std::string &it : keys) {
        text += (text.back() == '[' ? "" : ",") + std::string("{\"name\":\"tenant-") + it + "\",\"api_keys\":[\"" + it + "\"]}";
    }
    return text + "]}";
}

/// Answers each request after a service time, with a signature and a body. Keeps what it ran.
class PlainEngine
{
public:
    struct Run {
        double at;
        std::string id;
        std::string tenant;
    };

    PlainEngine(std::string id, const std::string &ip, Ms serviceTime, std::string body)
        : m_id(std::move(id))
        , m_serviceTime(serviceTime)
        , m_body(std::move(body))
        , m_server(ip, freePort(ip), [this](Stream &stream, Message &request) { return handle(stream, request); })
    {
        m_server.listen();
    }

    std::string address() const
    {
        return m_server.text();
    }

    Server &server()
    {
        return m_server;
    }

    std::vector<Run> runs()
    {
        const std::scoped_lock lock(m_mutex);
        return m_runs;
    }

    bool hasRun(const std::string &id)
    {
        const std::scoped_lock lock(m_mutex);
        return std::ranges::any_of(m_runs, [&](const Run &it) { return it.id == id; });
    }

private:
    bool handle(Stream &stream, Message &request)
    {
        if (expectsAnother(request, m_id)) {
            return misdirected(stream, request, m_id);
        }
        const std::string id = request.header("X-Guavalock-Attempt-Id");
        const std::string tenant = request.header("X-Guavalock-Tenant-Id");
        {
            const std::scoped_lock lock(m_mutex);
            m_runs.push_back({seconds(), id, tenant});
        }
        record.line(m_id + " runs " + id + " for " + tenant);
        pause(m_serviceTime);
        return stream.write(response(200, signedHeaders(request, m_id), m_body.empty() ? "done " + id : m_body));
    }

    std::string m_id;
    Ms m_serviceTime;
    std::string m_body;
    std::mutex m_mutex;
    std::vector<Run> m_runs;
    Server m_server;
};

} // namespace Rig
