#include "Deployment.h"

#include "Daemon/Daemon.h"
#include "FakePlatform.h"
#include "FakeTarget.h"
#include "Kernel/WorkerPool.h"
#include "LoadGenerator.h"
#include "Pipeline/DaemonContext.h"
#include "Settings/SettingsFile.h"
#include "Tables/ConfigurationTable.h"
#include "Tables/TargetTable.h"
#include "Tool/AdministrationClient.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <array>
#include <thread>

namespace Guavalock
{

namespace
{

struct Kind {
    const char *kind;
    const char *prefix;
    const char *pool;
    const char *dialect;
};

constexpr std::array kinds = {
    Kind{"embed", "encoder", "teams/platform/pools/encoders", "openai-embeddings"},
    Kind{"retrieve", "retriever", "teams/platform/pools/retrievers", "retrieval"},
    Kind{"rerank", "reranker", "teams/platform/pools/rerankers", "rerank"},
    Kind{"generate", "engine", "teams/platform/pools/engines", "openai-generate"},
    Kind{"service", "booking", "teams/desk/pools/bookings", "service"},
};

constexpr std::uint16_t firstPort = 10'000;
constexpr std::uint16_t portsPerDeployment = 100;
std::uint16_t deployments = 0;

} // namespace

Deployment::Deployment(Shape shape)
    : pool(std::make_unique<WorkerPool>(2))
    , m_shape(std::move(shape))
    , m_nextPort(static_cast<std::uint16_t>(firstPort + portsPerDeployment * (deployments++ % 200)))
{
    m_platform = std::make_unique<FakePlatform>(pool->executor(), m_nextPort++);
    makeTargets();
    makeSettings();
    publish();
}

Deployment::~Deployment()
{
    m_daemons.clear();
    pool->stop();
}

void Deployment::makeTargets()
{
    for (const std::string &centre : m_shape.centres) {
        for (const Kind &it : kinds) {
            FakeTargetSettings settings;
            settings.kind = it.kind;
            settings.port = m_nextPort++;
            settings.slots = m_shape.slots;
            settings.coldLimit = m_shape.coldLimit;
            settings.coldCalls = m_shape.coldCalls;
            settings.callTime = m_shape.callTime;
            settings.tokenTime = m_shape.tokenTime;
            settings.faults = m_shape.faults;
            settings.seed = m_shape.seed * 1'000 + settings.port;
            const std::string name = std::string(it.prefix) + "-" + centre;
            m_poolLines[it.pool] += "  - { name: " + name + ", address: \"127.0.0.1:" + std::to_string(settings.port) + "\", data_centre: "
                + centre + ", slots: " + std::to_string(m_shape.slots) + ", cold_slots: " + std::to_string(m_shape.coldLimit) + " }\n";
            m_targets[name] = std::make_unique<FakeTarget>(pool->executor(), settings);
        }
    }
}

void Deployment::makeSettings()
{
    std::vector<PeerSettings> peers;
    for (const std::string &centre : m_shape.centres) {
        for (std::size_t it = 0; it < m_shape.daemonsPerCentre; ++it) {
            ProcessSettings settings;
            settings.vm = "entry-" + centre + "-" + std::to_string(it);
            settings.dataCentre = centre;
            settings.workers = m_shape.workers;
            settings.callers = {"127.0.0.1", m_nextPort++};
            settings.administration = {"127.0.0.1", m_nextPort++};
            settings.peerListen = {"127.0.0.1", m_nextPort++};
            settings.peerKey = "a key for tests only";
            settings.platform = {"127.0.0.1", static_cast<std::uint16_t>(m_nextPort / portsPerDeployment * portsPerDeployment)};
            peers.push_back({settings.vm, centre, settings.peerListen});
            m_settings.push_back(std::move(settings));
        }
    }
    for (ProcessSettings &it : m_settings) {
        it.peers = peers;
        if (m_shape.adjust) {
            m_shape.adjust(it);
        }
    }
    m_daemons.resize(m_settings.size());
}

void Deployment::publish()
{
    SettingsErrors errors;
    const std::optional<SettingsFile> file = SettingsFile::load(GUAVALOCK_SOURCE_DIR "/Utilities/Demo/configuration.yaml", errors);
    std::map<std::string, std::string> documents = file->documents(errors);
    for (const Kind &it : kinds) {
        documents[it.pool] = std::string("dialect: ") + it.dialect + "\ntargets:\n" + m_poolLines[it.pool];
    }
    for (const auto &[path, text] : documents) {
        m_platform->publish(path, text);
    }
}

void Deployment::start()
{
    m_platform->start();
    for (auto &[name, target] : m_targets) {
        target->start();
    }
    for (std::size_t it = 0; it < m_daemons.size(); ++it) {
        m_daemons[it] = std::make_unique<Daemon>(m_settings[it]);
        m_daemons[it]->start();
    }
    for (std::size_t it = 0; it < m_daemons.size(); ++it) {
        waitFor("daemon ready", [this, it] { return ready(it); });
    }
}

void Deployment::startDaemon(std::size_t index)
{
    m_daemons[index] = std::make_unique<Daemon>(m_settings[index]);
    m_daemons[index]->start();
}

bool Deployment::ready(std::size_t index)
{
    if (m_daemons[index]->context().configuration.nextOffset() == 0) {
        return false;
    }
    const std::vector<TargetTable::Row> rows = m_daemons[index]->context().targets.rows();
    const bool targetsKnown = std::ranges::none_of(rows, [](const TargetTable::Row &it) { return it.warmth == "unknown"; });
    Reason reason;
    const std::optional<boost::json::value> members = AdministrationClient(administration(index)).get("members", reason);
    if (!members || !targetsKnown || rows.empty()) {
        return false;
    }
    return std::ranges::all_of(members->as_array(), [](const boost::json::value &it) {
        const boost::json::object &row = it.as_object();
        return row.at("state") == "live" && row.at("pools").to_number<std::size_t>() == kinds.size();
    });
}

void Deployment::killDaemon(std::size_t index)
{
    m_daemons[index].reset();
}

Daemon &Deployment::daemon(std::size_t index)
{
    return *m_daemons[index];
}

FakePlatform &Deployment::platform()
{
    return *m_platform;
}

FakeTarget &Deployment::target(const std::string &name)
{
    return *m_targets.at(name);
}

std::map<std::string, std::unique_ptr<FakeTarget>> &Deployment::targets()
{
    return m_targets;
}

std::vector<Endpoint> Deployment::callers() const
{
    std::vector<Endpoint> endpoints;
    for (const ProcessSettings &it : m_settings) {
        endpoints.push_back(it.callers);
    }
    return endpoints;
}

Endpoint Deployment::administration(std::size_t index) const
{
    return m_settings[index].administration;
}

void Deployment::put(const std::string &path, const std::string &text)
{
    Reason reason;
    const AdministrationClient client(administration(0));
    const std::optional<boost::json::value> now = client.get("configuration/" + path, reason);
    CPPUNIT_ASSERT_MESSAGE(reason.text, now.has_value());
    const std::string version = std::to_string(now->as_object().at("version").to_number<std::uint64_t>());
    CPPUNIT_ASSERT_MESSAGE(reason.text, client.put("configuration/" + path, text, {{"X-Expected-Version", version}}, reason).has_value());
}

std::unique_ptr<LoadGenerator> Deployment::load(LoadPlan plan)
{
    if (plan.daemons.empty()) {
        plan.daemons = callers();
    }
    auto driver = std::make_unique<LoadGenerator>(pool->executor(), plan);
    driver->run();
    LoadStatistics &tally = driver->tally();
    const std::string first = tally.violations.empty() ? "" : tally.violations.front();
    CPPUNIT_ASSERT_EQUAL_MESSAGE(first, std::size_t(0), tally.violations.size());
    std::map<std::string, std::size_t> runs;
    for (const auto &[name, target] : m_targets) {
        const FakeTarget::Counts counts = target->counts();
        CPPUNIT_ASSERT_EQUAL_MESSAGE(name + " bore more than its cold limit", std::size_t(0), counts.coldExceeded);
        for (const auto &[key, n] : counts.executionsByKey) {
            runs[key] += n;
        }
        for (const std::string &it : tally.notRun) {
            CPPUNIT_ASSERT_MESSAGE(name + " ran " + it + ", which was refused as not run", !counts.executedRequestIds.contains(it));
        }
    }
    for (const auto &[key, answered] : tally.bookings) {
        CPPUNIT_ASSERT_MESSAGE(key + " ran " + std::to_string(runs[key]) + " times: " + tally.history[key], runs[key] <= 1);
        CPPUNIT_ASSERT_MESSAGE(key + " was answered and never ran", !answered || runs[key] == 1);
    }
    return driver;
}

void Deployment::waitFor(const std::string &what, const std::function<bool()> &condition, std::chrono::milliseconds longest)
{
    const auto end = std::chrono::steady_clock::now() + longest;
    while (!condition()) {
        CPPUNIT_ASSERT_MESSAGE("not in time: " + what, std::chrono::steady_clock::now() < end);
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
}

} // namespace Guavalock
