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

constexpr std::uint16_t firstPort = 16'000; ///< Below those that the system gives to outgoing connections.
constexpr std::uint16_t slotPorts = 1'000;
constexpr std::uint16_t storePort = 0; ///< These are counted from the slot's first port.
constexpr std::uint16_t storeLinkPort = 100; ///< One for each daemon.
constexpr std::uint16_t targetPort = 400;
constexpr std::uint16_t targetLinkPort = 500;
constexpr milliseconds contact{3'000}; ///< A fault excuses broken connections until this long after its end.
constexpr milliseconds settleTime{6'000}; ///< After the last fault, by when everything has to be as told.
constexpr milliseconds restartGrace{8'500}; ///< A planned stop has to end within the grace time.
constexpr std::size_t settledRequests = 20; ///< For each daemon, at the end.

const std::vector<std::pair<std::string, std::string>> targetNames{{"plain-1", "plain"}, {"plain-2", "plain"}, {"model-1", "model"},
                                                                   {"model-2", "model"}, {"stage-1", "stage"}, {"stage-2", "stage"}};

std::string dataCentre(std::size_t number)
{
    return number % 2 == 0 ? "north" : "south";
}

bool promisesNotRun(unsigned status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

void wait(milliseconds time)
{
    boost::asio::io_context context;
    boost::asio::steady_timer(context, time).wait();
}

} // namespace

SoakRun::SoakRun(Plan plan)
    : m_plan(std::move(plan))
    , m_random(m_plan.seed)
    , m_pool(2)
    , m_stopping(m_plan.daemons)
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
    static const std::vector<Fault> list{{"kill", &SoakRun::killOne},
                                         {"kill-all", &SoakRun::killAll},
                                         {"pause", &SoakRun::pause},
                                         {"stop", &SoakRun::stopOne},
                                         {"stop", &SoakRun::stopOne},
                                         {"hang-up", &SoakRun::hangUp},
                                         {"store-away", &SoakRun::storeAway},
                                         {"store-forgets", &SoakRun::storeForgets},
                                         {"store-link", &SoakRun::storeLink},
                                         {"target-link", &SoakRun::targetLink},
                                         {"bad-target", &SoakRun::badTarget},
                                         {"bad-target", &SoakRun::badTarget},
                                         {"drain-target", &SoakRun::drainTarget},
                                         {"revoke", &SoakRun::revoke}};
    return list;
}

void SoakRun::note(const std::string &text) const
{
    std::ofstream(m_plan.folder + "/faults.log", std::ios::app)
        << std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count() << ' ' << text << '\n';
}

void SoakRun::configure(const std::string &keys)
{
    const std::string text = R"({"version":)" + std::to_string(++m_version) + R"(,"routes":[
        {"name":"safe","hostname":"h","path_prefix":"/safe/","type":"idempotent","timeout_ms":2000,"target_latency_ms":300,"service":"plain","max_attempts":2},
        {"name":"once","hostname":"h","path_prefix":"/once/","type":"non_idempotent","timeout_ms":2000,"target_latency_ms":300,"service":"plain","max_attempts":1},
        {"name":"stream","hostname":"h","path_prefix":"/stream/","type":"streaming","timeout_ms":4000,"target_latency_ms":1000,"service":"model","max_attempts":1,
         "phases":[{"service":"stage","after":[],"byte_count":100},{"service":"stage","after":[0],"byte_count":100}]}],
        "services":[{"name":"plain"},{"name":"model"},{"name":"stage","fragments":{"capacity":1,"queue":2,"batch":8,"call_ms":30,"item_ms":1,"headroom_mb":1,"handle_s":4}}],
        "tenants":[{"name":"mill","api_keys":[)"
        + keys + "]}]}";
    m_store->put("keyed.op", "config", text);
}

void SoakRun::writeTarget(const std::string &name, const std::string &state)
{
    const auto it = std::ranges::find(targetNames, name, &std::pair<std::string, std::string>::first);
    const auto number = static_cast<std::size_t>(it - targetNames.begin());
    // Stage results are known by the address of their maker, so stage targets have no link in between.
    const std::size_t port = (it->second == "stage" ? targetPort : targetLinkPort) + number;
    Json::object entry{{"service", it->second}, {"address", local(port).text()}, {"zone", dataCentre(number)}};
    entry["state"] = state;
    entry["born"] = 1;
    m_store->put("keyed.servers", name, Json::serialize(entry));
}

void SoakRun::startStandIns()
{
    m_store = std::make_unique<FakeRecordStore>(boost::asio::make_strand(m_pool.executor()), local(storePort).port);
    m_store->start();
    configure(R"("k1","k2")");
    for (std::size_t it = 0; it < targetNames.size(); ++it) {
        const auto &[name, service] = targetNames[it];
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

void SoakRun::driveClient(std::size_t daemon, std::size_t client)
{
    RandomEngine random(m_plan.seed * 1'000 + daemon * 10 + client);
    SoakClient caller({daemonAddress(daemon), 8600});
    for (std::size_t n = 0; !m_over; ++n) {
        const auto kind = static_cast<SoakClient::Kind>(random() % 3);
        const std::string id = "d" + std::to_string(daemon) + "c" + std::to_string(client) + "n" + std::to_string(n);
        SoakClient::Result result = caller.ask(kind, id, "k1");
        if (result.sent) {
            const std::scoped_lock lock(m_mutex);
            m_results.push_back(std::move(result));
        }
        wait(milliseconds(5 + random() % 25));
    }
}

void SoakRun::later(milliseconds from, milliseconds to, std::function<void()> action)
{
    const milliseconds in = from + milliseconds(m_random() % static_cast<std::uint64_t>((to - from).count() + 1));
    m_due.emplace(std::chrono::steady_clock::now() + in, std::move(action));
}

void SoakRun::unplanned(milliseconds time)
{
    const TimePoint now = std::chrono::steady_clock::now();
    m_unplanned.emplace_back(now, now + time + contact);
}

void SoakRun::restart(std::size_t daemon)
{
    if (!m_daemons[daemon]->running()) {
        m_daemons[daemon]->start();
        m_stopping[daemon] = false;
    }
}

void SoakRun::killOne(std::size_t daemon)
{
    unplanned(milliseconds(2'000));
    m_daemons[daemon]->signal(SIGCONT);
    m_daemons[daemon]->signal(SIGKILL);
}

void SoakRun::killAll(std::size_t)
{
    for (std::size_t it = 0; it < m_plan.daemons; ++it) {
        killOne(it);
    }
}

void SoakRun::pause(std::size_t daemon)
{
    unplanned(milliseconds(3'000));
    m_daemons[daemon]->signal(SIGSTOP);
    later(milliseconds(300), milliseconds(3'000), [this, daemon] { m_daemons[daemon]->signal(SIGCONT); });
}

void SoakRun::stopOne(std::size_t daemon)
{
    m_daemons[daemon]->signal(SIGTERM);
    m_stopping[daemon] = true;
}

void SoakRun::hangUp(std::size_t daemon)
{
    m_daemons[daemon]->signal(SIGHUP);
}

void SoakRun::storeAway(std::size_t)
{
    m_store->setOutage(true);
    later(milliseconds(500), milliseconds(4'000), [this] { m_store->setOutage(false); });
}

void SoakRun::storeForgets(std::size_t)
{
    m_store->forget();
}

void SoakRun::storeLink(std::size_t daemon)
{
    m_storeLinks[daemon]->setMode(static_cast<SoakProxy::Mode>(1 + m_random() % 4));
    later(milliseconds(500), milliseconds(4'000), [this, daemon] { m_storeLinks[daemon]->setMode(SoakProxy::Mode::Pass); });
}

void SoakRun::targetLink(std::size_t)
{
    unplanned(milliseconds(2'000));
    const std::string name = targetNames[m_random() % 4].first;
    m_targetLinks[name]->setMode(static_cast<SoakProxy::Mode>(1 + m_random() % 4));
    later(milliseconds(300), milliseconds(2'000), [this, name] { m_targetLinks[name]->setMode(SoakProxy::Mode::Pass); });
}

void SoakRun::badTarget(std::size_t)
{
    unplanned(milliseconds(2'000));
    const auto fault = static_cast<FakeFleetTarget::Fault>(1 + m_random() % 6);
    m_targets[targetNames[m_random() % 4].first]->setFault(fault, 1 + m_random() % 6);
}

void SoakRun::drainTarget(std::size_t)
{
    writeTarget("plain-2", "draining");
    later(milliseconds(1'000), milliseconds(4'000), [this] { writeTarget("plain-2", "ready"); });
}

void SoakRun::revoke(std::size_t)
{
    configure(R"("k1")");
    later(milliseconds(500), milliseconds(3'000), [this] { configure(R"("k1","k2")"); });
}

void SoakRun::runDue(TimePoint now)
{
    while (!m_due.empty() && m_due.begin()->first <= now) {
        const auto action = m_due.extract(m_due.begin()).mapped();
        action();
    }
    for (std::size_t it = 0; it < m_plan.daemons; ++it) {
        const std::optional<int> status = m_daemons[it]->ended();
        if (!status) {
            continue;
        }
        const bool killed = *status == -SIGKILL;
        if (!killed && !m_stopping[it]) {
            m_violations.push_back("daemon " + std::to_string(it) + " ended by itself with status " + std::to_string(*status));
        }
        later(milliseconds(200), milliseconds(1'500), [this, it] { restart(it); });
    }
}

void SoakRun::injectFaults(TimePoint until)
{
    TimePoint next = std::chrono::steady_clock::now() + milliseconds(1'000);
    while (std::chrono::steady_clock::now() < until) {
        wait(milliseconds(20));
        const TimePoint now = std::chrono::steady_clock::now();
        runDue(now);
        if (now < next) {
            continue;
        }
        const Fault &fault = faults()[m_random() % faults().size()];
        const std::size_t daemon = m_random() % m_plan.daemons;
        note(std::string(fault.name) + " daemon " + std::to_string(daemon));
        (this->*fault.begin)(daemon);
        ++m_faultCount;
        next = now + milliseconds(200 + m_random() % 1'300);
    }
}

void SoakRun::settle()
{
    const TimePoint end = std::chrono::steady_clock::now() + restartGrace;
    while (std::chrono::steady_clock::now() < end) {
        wait(milliseconds(20));
        runDue(std::chrono::steady_clock::now());
    }
    for (std::size_t it = 0; it < m_plan.daemons; ++it) {
        if (m_stopping[it] && m_daemons[it]->running()) {
            m_violations.push_back("daemon " + std::to_string(it) + " did not end within its grace time");
        }
    }
}

std::vector<std::string> SoakRun::checkSettled()
{
    std::vector<std::string> broken;
    writeTarget("plain-2", "draining");
    configure(R"("k1")");
    wait(settleTime);
    const std::size_t before = m_targets["plain-2"]->arrivals();
    for (std::size_t daemon = 0; daemon < m_plan.daemons; ++daemon) {
        SoakClient caller({daemonAddress(daemon), 8600});
        std::size_t served = 0;
        for (std::size_t n = 0; n < settledRequests; ++n) {
            const std::string id = "s" + std::to_string(daemon) + "n" + std::to_string(n);
            const auto result = caller.ask(static_cast<SoakClient::Kind>(n % 3), id, "k1");
            served += result.status == 200 && result.whole && result.right ? 1 : 0;
        }
        if (served < settledRequests) {
            broken.push_back("daemon " + std::to_string(daemon) + " served " + std::to_string(served) + " of "
                             + std::to_string(settledRequests) + " requests after everything had settled");
        }
        if (caller.ask(SoakClient::Kind::Safe, "revoked" + std::to_string(daemon), "k2").status != 401) {
            broken.push_back("daemon " + std::to_string(daemon) + " took a key that was taken away");
        }
    }
    if (m_targets["plain-2"]->arrivals() != before) {
        broken.push_back("a leaving target got new work");
    }
    return broken;
}

std::vector<std::string> SoakRun::check() const
{
    std::map<std::string, std::size_t> runs;
    for (const auto &[name, target] : m_targets) {
        for (const auto &[id, n] : target->runs()) {
            runs[id] += n;
        }
    }
    std::vector<std::string> broken;
    for (const SoakClient::Result &it : m_results) {
        const std::size_t ran = runs.contains(it.id) ? runs.at(it.id) : 0;
        if (it.status == 200 && it.whole && !it.right) {
            broken.push_back(it.id + " got an answer that is not its own or not whole");
        }
        if (it.kind != SoakClient::Kind::Safe && ran > 1) {
            broken.push_back(it.id + " ran " + std::to_string(ran) + " times");
        }
        if (it.kind != SoakClient::Kind::Safe && promisesNotRun(it.status) && ran > 0) {
            broken.push_back(it.id + " was refused with " + std::to_string(it.status) + " and ran");
        }
        const bool excused
            = std::ranges::any_of(m_unplanned, [&](const auto &span) { return span.first <= it.end && it.end <= span.second; });
        if (!it.whole && !excused) {
            broken.push_back(it.id + " was cut although nothing but planned work went on");
        }
    }
    return broken;
}

std::vector<std::string> SoakRun::run()
{
    startStandIns();
    for (std::size_t it = 0; it < m_plan.daemons; ++it) {
        writeSettings(it);
        const std::string name = m_plan.folder + "/vm-" + std::to_string(it);
        m_daemons.push_back(std::make_unique<SoakProcess>(m_plan.program, name + ".json", name + ".log"));
        m_daemons.back()->start();
    }
    unplanned(milliseconds(2'000));
    for (std::size_t daemon = 0; daemon < m_plan.daemons; ++daemon) {
        for (std::size_t client = 0; client < m_plan.clients; ++client) {
            m_threads.emplace_back([this, daemon, client] { driveClient(daemon, client); });
        }
    }
    injectFaults(std::chrono::steady_clock::now() + m_plan.time);
    settle();
    m_over = true;
    for (std::thread &it : m_threads) {
        it.join();
    }
    std::vector<std::string> broken = m_violations;
    for (std::string &it : checkSettled()) {
        broken.push_back(std::move(it));
    }
    for (std::string &it : check()) {
        broken.push_back(std::move(it));
    }
    return broken;
}

std::string SoakRun::summary() const
{
    const auto whole = std::ranges::count_if(m_results, [](const auto &it) { return it.status == 200 && it.whole; });
    const auto refused = std::ranges::count_if(m_results, [](const auto &it) { return promisesNotRun(it.status); });
    return "seed " + std::to_string(m_plan.seed) + ": " + std::to_string(m_faultCount) + " faults, " + std::to_string(m_results.size())
        + " requests, " + std::to_string(whole) + " served, " + std::to_string(refused) + " refused as not run";
}

} // namespace Guavalock
