#include "SoakRun.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <csignal>
#include <fstream>
#include <iostream>

namespace Guavalock
{

namespace Json = boost::json;

using std::chrono::milliseconds;

namespace
{

constexpr std::uint16_t firstPort = 16'000; ///< Below the ephemeral port range.
constexpr std::uint16_t slotPorts = 1'000;
constexpr std::uint16_t storePort = 0; ///< Port offsets are relative to the first port of the slot.
constexpr std::uint16_t storeLinkPort = 100; ///< One for each daemon.
constexpr std::uint16_t targetPort = 400;
constexpr std::uint16_t targetLinkPort = 500;
constexpr milliseconds disconnectTolerance{3'000}; ///< Broken connections are tolerated until this long after a fault ends.
constexpr milliseconds convergenceTime{6'000}; ///< Time after the last fault for all daemons to converge.
constexpr milliseconds restartTimeout{8'500}; ///< A planned stop has to complete within the 8 s grace time of the settings.
constexpr std::size_t finalRequestsPerDaemon = 20; ///< Sent to each daemon by the final check.

const std::vector<std::pair<std::string, std::string>> targetServices{{"plain-1", "plain"}, {"plain-2", "plain"}, {"model-1", "model"},
                                                                      {"model-2", "model"}, {"stage-1", "stage"}, {"stage-2", "stage"}};

std::string dataCentre(std::size_t number)
{
    return number % 2 == 0 ? "north" : "south";
}

bool guaranteesNotExecuted(unsigned status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

void blockFor(milliseconds time)
{
    boost::asio::io_context context;
    boost::asio::steady_timer(context, time).wait();
}

} // namespace

SoakRun::SoakRun(Plan plan)
    : m_plan(std::move(plan))
    , m_random(m_plan.seed)
    , m_pool(2)
    , m_stopRequested(m_plan.daemons)
{
}

SoakRun::~SoakRun()
{
    m_daemons.clear();
    m_pool.stop();
}

std::string SoakRun::daemonAddress(std::size_t daemon) const
{
    return "127.0." + std::to_string(m_plan.slot + 1) + "." + std::to_string(daemon + 1);
}

Endpoint SoakRun::local(std::size_t port) const
{
    return {"127.0.0.1", static_cast<std::uint16_t>(firstPort + slotPorts * m_plan.slot + port)};
}

const std::vector<SoakRun::Fault> &SoakRun::faults()
{
    static const std::vector<Fault> table{{"kill", &SoakRun::killDaemon},
                                          {"kill-all", &SoakRun::killAll},
                                          {"pause", &SoakRun::pauseDaemon},
                                          {"stop", &SoakRun::stopDaemon},
                                          {"stop", &SoakRun::stopDaemon},
                                          {"reload", &SoakRun::reloadDaemon},
                                          {"store-outage", &SoakRun::interruptStore},
                                          {"store-compaction", &SoakRun::compactStore},
                                          {"store-link-fault", &SoakRun::disturbStoreLink},
                                          {"target-link-fault", &SoakRun::disturbTargetLink},
                                          {"target-fault", &SoakRun::injectTargetFault},
                                          {"target-fault", &SoakRun::injectTargetFault},
                                          {"drain-target", &SoakRun::drainTarget},
                                          {"revoke-key", &SoakRun::revokeKey}};
    return table;
}

void SoakRun::logFault(const std::string &text) const
{
    std::ofstream(m_plan.folder + "/faults.log", std::ios::app)
        << std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count() << ' ' << text << '\n';
}

void SoakRun::publishConfiguration(const std::string &keys)
{
    // Clients send "Host: h": the case of a host name does not matter.
    const std::string text = R"({"version":)" + std::to_string(++m_configurationVersion) + R"(,"routes":[
        {"name":"safe","hostname":"H","path_prefix":"/safe/","type":"idempotent","timeout_ms":2000,"target_latency_ms":300,"service":"plain","max_attempts":2},
        {"name":"once","hostname":"h","path_prefix":"/once/","type":"non_idempotent","timeout_ms":2000,"target_latency_ms":300,"service":"plain","max_attempts":1},
        {"name":"stream","hostname":"H","path_prefix":"/stream/","type":"streaming","timeout_ms":4000,"target_latency_ms":1000,"service":"model","max_attempts":1,
         "phases":[{"service":"stage","after":[],"byte_count":100},{"service":"stage","after":[0],"byte_count":100}]}],
        "services":[{"name":"plain"},{"name":"model"},{"name":"stage","fragments":{"capacity":1,"queue":2,"batch":8,"call_ms":30,"item_ms":1,"headroom_mb":1,"handle_s":4}}],
        "tenants":[{"name":"mill","api_keys":[)"
        + keys + "]}]}";
    m_store->put("keyed.op", "config", text);
}

void SoakRun::writeTarget(const std::string &name, const std::string &state)
{
    const auto it = std::ranges::find(targetServices, name, &std::pair<std::string, std::string>::first);
    const auto number = static_cast<std::size_t>(it - targetServices.begin());
    // Result handles contain the address of the stage target that holds them, so stage targets are addressed without a proxy.
    const std::size_t port = (it->second == "stage" ? targetPort : targetLinkPort) + number;
    Json::object entry{{"service", it->second}, {"address", local(port).text()}, {"zone", dataCentre(number)}};
    entry["state"] = state;
    entry["version"] = "v1";
    entry["capacity"] = 64;
    entry["cold_remaining_ms"] = 0;
    entry["sequence"] = ++m_targetSequence;
    entry["born"] = 1;
    m_store->put("keyed.servers", name, Json::serialize(entry));
}

void SoakRun::startFakes()
{
    m_store = std::make_unique<FakeRecordStore>(boost::asio::make_strand(m_pool.executor()), local(storePort).port);
    m_store->start();
    publishConfiguration(R"("k1","k2")");
    for (std::size_t it = 0; it < targetServices.size(); ++it) {
        const auto &[name, service] = targetServices[it];
        const Endpoint address = local(targetPort + it);
        m_targets[name] = std::make_unique<FakeFleetTarget>(boost::asio::make_strand(m_pool.executor()), address.port, name);
        m_targets[name]->start();
        m_targetLinks[name] = std::make_unique<SoakProxy>(m_pool.executor(), local(targetLinkPort + it), address);
        m_targetLinks[name]->start();
        writeTarget(name, "ready");
    }
    for (std::size_t it = 0; it < m_plan.daemons; ++it) {
        m_storeLinks.push_back(std::make_unique<SoakProxy>(m_pool.executor(), local(storeLinkPort + it), local(storePort)));
        m_storeLinks.back()->start();
    }
}

void SoakRun::writeSettings(std::size_t daemon) const
{
    const std::string ip = daemonAddress(daemon);
    Json::object settings{{"node_name", "vm-" + std::to_string(daemon)}, {"ip", ip}, {"zone", dataCentre(daemon)}};
    settings["listen"] = Json::object{{"frontend", ip + ":8600"}, {"readiness", ip + ":8601"}};
    settings["internal_ports"] = Json::array{7700, 7701};
    settings["seeds"] = Json::array{daemonAddress(0) + ":8602", daemonAddress(m_plan.daemons - 1) + ":8602"};
    settings["limits"] = Json::object{{"cpu_share", 0.25}, {"cores", 1}};
    settings["bounds"] = Json::object{{"grace_s", 8}, {"retry_budget_ratio", 0.2}, {"retry_allowance", 52}, {"budget_window_s", 10}};
    settings["platform"] = Json::object{{"address", local(storeLinkPort + daemon).text()}};
    std::ofstream(m_plan.folder + "/vm-" + std::to_string(daemon) + ".json") << Json::serialize(settings);
}

void SoakRun::runClient(std::size_t daemon, std::size_t client)
{
    RandomEngine random(m_plan.seed * 1'000 + daemon * 10 + client);
    SoakClient caller({daemonAddress(daemon), 8600});
    for (std::size_t n = 0; !m_clientsStopped; ++n) {
        const auto kind = static_cast<SoakClient::Kind>(random() % 3);
        const std::string id = "d" + std::to_string(daemon) + "c" + std::to_string(client) + "n" + std::to_string(n);
        SoakClient::Result result = caller.send(kind, id, "k1");
        if (result.sent) {
            const std::scoped_lock lock(m_mutex);
            m_results.push_back(std::move(result));
        }
        blockFor(milliseconds(5 + random() % 25));
    }
}

void SoakRun::schedule(milliseconds from, milliseconds to, std::function<void()> action)
{
    const milliseconds delay = from + milliseconds(m_random() % static_cast<std::uint64_t>((to - from).count() + 1));
    m_scheduledActions.emplace(std::chrono::steady_clock::now() + delay, std::move(action));
}

void SoakRun::excuseDisconnects(milliseconds time)
{
    const TimePoint now = std::chrono::steady_clock::now();
    m_excusedPeriods.emplace_back(now, now + time + disconnectTolerance);
}

void SoakRun::restartDaemon(std::size_t daemon)
{
    if (!m_daemons[daemon]->running()) {
        m_daemons[daemon]->start();
        m_stopRequested[daemon] = false;
    }
}

void SoakRun::killDaemon(std::size_t daemon)
{
    excuseDisconnects(milliseconds(2'000));
    m_daemons[daemon]->sendSignal(SIGCONT);
    m_daemons[daemon]->sendSignal(SIGKILL);
}

void SoakRun::killAll(std::size_t)
{
    for (std::size_t it = 0; it < m_plan.daemons; ++it) {
        killDaemon(it);
    }
}

void SoakRun::pauseDaemon(std::size_t daemon)
{
    excuseDisconnects(milliseconds(3'000));
    m_daemons[daemon]->sendSignal(SIGSTOP);
    schedule(milliseconds(300), milliseconds(3'000), [this, daemon] { m_daemons[daemon]->sendSignal(SIGCONT); });
}

void SoakRun::stopDaemon(std::size_t daemon)
{
    m_daemons[daemon]->sendSignal(SIGTERM);
    m_stopRequested[daemon] = true;
}

void SoakRun::reloadDaemon(std::size_t daemon)
{
    m_daemons[daemon]->sendSignal(SIGHUP);
}

void SoakRun::interruptStore(std::size_t)
{
    m_store->setOutage(true);
    schedule(milliseconds(500), milliseconds(4'000), [this] { m_store->setOutage(false); });
}

void SoakRun::compactStore(std::size_t)
{
    m_store->forget();
}

void SoakRun::disturbStoreLink(std::size_t daemon)
{
    m_storeLinks[daemon]->setMode(static_cast<SoakProxy::Mode>(1 + m_random() % 4));
    schedule(milliseconds(500), milliseconds(4'000), [this, daemon] { m_storeLinks[daemon]->setMode(SoakProxy::Mode::Pass); });
}

void SoakRun::disturbTargetLink(std::size_t)
{
    excuseDisconnects(milliseconds(2'000));
    const std::string name = targetServices[m_random() % 4].first;
    m_targetLinks[name]->setMode(static_cast<SoakProxy::Mode>(1 + m_random() % 4));
    schedule(milliseconds(300), milliseconds(2'000), [this, name] { m_targetLinks[name]->setMode(SoakProxy::Mode::Pass); });
}

void SoakRun::injectTargetFault(std::size_t)
{
    excuseDisconnects(milliseconds(2'000));
    const auto fault = static_cast<FakeFleetTarget::Fault>(1 + m_random() % 6);
    m_targets[targetServices[m_random() % 4].first]->setFault(fault, 1 + m_random() % 6);
}

void SoakRun::drainTarget(std::size_t)
{
    writeTarget("plain-2", "draining");
    schedule(milliseconds(1'000), milliseconds(4'000), [this] { writeTarget("plain-2", "ready"); });
}

void SoakRun::revokeKey(std::size_t)
{
    publishConfiguration(R"("k1")");
    schedule(milliseconds(500), milliseconds(3'000), [this] { publishConfiguration(R"("k1","k2")"); });
}

void SoakRun::runScheduledActions(TimePoint now)
{
    while (!m_scheduledActions.empty() && m_scheduledActions.begin()->first <= now) {
        const auto action = m_scheduledActions.extract(m_scheduledActions.begin()).mapped();
        action();
    }
    for (std::size_t it = 0; it < m_plan.daemons; ++it) {
        const std::optional<int> status = m_daemons[it]->pollExitStatus();
        if (!status) {
            continue;
        }
        const bool killed = *status == -SIGKILL;
        const bool stopped = m_stopRequested[it] && *status == 0;
        if (!killed && !stopped) {
            m_violations.push_back("daemon " + std::to_string(it) + " exited unexpectedly with status " + std::to_string(*status));
        }
        schedule(milliseconds(200), milliseconds(1'500), [this, it] { restartDaemon(it); });
    }
}

void SoakRun::injectFaults(TimePoint until)
{
    TimePoint next = std::chrono::steady_clock::now() + milliseconds(1'000);
    while (std::chrono::steady_clock::now() < until) {
        blockFor(milliseconds(20));
        const TimePoint now = std::chrono::steady_clock::now();
        runScheduledActions(now);
        if (now < next) {
            continue;
        }
        const Fault &fault = faults()[m_random() % faults().size()];
        const std::size_t daemon = m_random() % m_plan.daemons;
        logFault(std::string(fault.name) + " daemon " + std::to_string(daemon));
        (this->*fault.begin)(daemon);
        ++m_injectedFaultCount;
        next = now + milliseconds(200 + m_random() % 1'300);
    }
}

void SoakRun::awaitRestarts()
{
    const TimePoint end = std::chrono::steady_clock::now() + restartTimeout;
    while (std::chrono::steady_clock::now() < end) {
        blockFor(milliseconds(20));
        runScheduledActions(std::chrono::steady_clock::now());
    }
    for (std::size_t it = 0; it < m_plan.daemons; ++it) {
        if (m_stopRequested[it] && m_daemons[it]->running()) {
            m_violations.push_back("daemon " + std::to_string(it) + " did not exit within the grace time");
        }
    }
}

std::vector<std::string> SoakRun::checkSettled()
{
    std::vector<std::string> violations;
    writeTarget("plain-2", "draining");
    publishConfiguration(R"("k1")");
    blockFor(convergenceTime);
    const std::size_t requestsBefore = m_targets["plain-2"]->arrivals();
    for (std::size_t daemon = 0; daemon < m_plan.daemons; ++daemon) {
        SoakClient caller({daemonAddress(daemon), 8600});
        std::size_t served = 0;
        for (std::size_t n = 0; n < finalRequestsPerDaemon; ++n) {
            const std::string id = "s" + std::to_string(daemon) + "n" + std::to_string(n);
            const auto result = caller.send(static_cast<SoakClient::Kind>(n % 3), id, "k1");
            served += result.status == 200 && result.complete && result.correct ? 1 : 0;
        }
        if (served < finalRequestsPerDaemon) {
            violations.push_back("daemon " + std::to_string(daemon) + " served " + std::to_string(served) + " of "
                                 + std::to_string(finalRequestsPerDaemon) + " requests after convergence");
        }
        if (caller.send(SoakClient::Kind::Idempotent, "revoked" + std::to_string(daemon), "k2").status != 401) {
            violations.push_back("daemon " + std::to_string(daemon) + " accepted a revoked API key");
        }
    }
    if (m_targets["plain-2"]->arrivals() != requestsBefore) {
        violations.push_back("draining target plain-2 received new requests");
    }
    return violations;
}

std::vector<std::string> SoakRun::checkResults() const
{
    std::map<std::string, std::size_t> runs;
    for (const auto &[name, target] : m_targets) {
        for (const auto &[id, n] : target->runs()) {
            runs[id] += n;
        }
    }
    std::vector<std::string> violations;
    for (const SoakClient::Result &it : m_results) {
        const std::size_t executions = runs.contains(it.id) ? runs.at(it.id) : 0;
        if (it.status == 200 && it.complete && !it.correct) {
            violations.push_back(it.id + " received a response with an unexpected body");
        }
        if (it.kind != SoakClient::Kind::Idempotent && executions > 1) {
            violations.push_back(it.id + " was executed " + std::to_string(executions) + " times");
        }
        if (it.kind != SoakClient::Kind::Idempotent && guaranteesNotExecuted(it.status) && executions > 0) {
            violations.push_back(it.id + " was refused with " + std::to_string(it.status) + " but was executed");
        }
        const bool disconnectExcused
            = std::ranges::any_of(m_excusedPeriods, [&](const auto &period) { return period.first <= it.end && it.end <= period.second; });
        if (!it.complete && !disconnectExcused) {
            violations.push_back(it.id + " lost its connection outside the excused periods");
        }
    }
    return violations;
}

std::vector<std::string> SoakRun::run()
{
    startFakes();
    for (std::size_t it = 0; it < m_plan.daemons; ++it) {
        writeSettings(it);
        const std::string name = m_plan.folder + "/vm-" + std::to_string(it);
        m_daemons.push_back(std::make_unique<SoakProcess>(m_plan.program, name + ".json", name + ".log"));
        m_daemons.back()->start();
    }
    excuseDisconnects(milliseconds(2'000));
    for (std::size_t daemon = 0; daemon < m_plan.daemons; ++daemon) {
        for (std::size_t client = 0; client < m_plan.clients; ++client) {
            m_threads.emplace_back([this, daemon, client] { runClient(daemon, client); });
        }
    }
    injectFaults(std::chrono::steady_clock::now() + m_plan.time);
    awaitRestarts();
    m_clientsStopped = true;
    for (std::thread &it : m_threads) {
        it.join();
    }
    std::vector<std::string> violations = m_violations;
    for (std::string &it : checkSettled()) {
        violations.push_back(std::move(it));
    }
    for (std::string &it : checkResults()) {
        violations.push_back(std::move(it));
    }
    return violations;
}

std::string SoakRun::summary() const
{
    const auto complete = std::ranges::count_if(m_results, [](const auto &it) { return it.status == 200 && it.complete; });
    const auto refused = std::ranges::count_if(m_results, [](const auto &it) { return guaranteesNotExecuted(it.status); });
    return "seed " + std::to_string(m_plan.seed) + ": " + std::to_string(m_injectedFaultCount) + " faults, "
        + std::to_string(m_results.size()) + " requests, " + std::to_string(complete) + " served, " + std::to_string(refused)
        + " refused as not executed";
}

} // namespace Guavalock
