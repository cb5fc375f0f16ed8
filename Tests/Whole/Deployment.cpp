#include "Deployment.h"

#include "FakeAddress.h"

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

struct TargetKind {
    const char *kind;
    const char *prefix;
    const char *pool;
    const char *dialect;
};

constexpr std::array targetKinds = {
    TargetKind{"embed", "encoder", "teams/platform/pools/encoders", "openai-embeddings"},
    TargetKind{"retrieve", "retriever", "teams/platform/pools/retrievers", "retrieval"},
    TargetKind{"rerank", "reranker", "teams/platform/pools/rerankers", "rerank"},
    TargetKind{"generate", "engine", "teams/platform/pools/engines", "openai-generate"},
    TargetKind{"service", "booking", "teams/desk/pools/bookings", "service"},
};

constexpr std::uint16_t firstPort = 10'000;
constexpr std::uint16_t portsPerDeployment = 100;
std::uint16_t deploymentCount = 0;

} // namespace

Deployment::Deployment(Shape options)
    : pool(std::make_unique<WorkerPool>(2))
    , m_options(std::move(options))
    , m_nextPort(static_cast<std::uint16_t>(firstPort + portsPerDeployment * (deploymentCount++ % 200)))
{
    m_platform = std::make_unique<FakePlatform>(pool->executor(), m_nextPort++);
    makeTargets();
    makeDaemonSettings();
    publishConfiguration();
}

Deployment::~Deployment()
{
    m_daemons.clear();
    pool->stop();
}

void Deployment::makeTargets()
{
    for (const std::string &dataCentre : m_options.centres) {
        for (const TargetKind &it : targetKinds) {
            FakeTargetSettings settings;
            settings.kind = it.kind;
            settings.port = m_nextPort++;
            settings.slots = m_options.slots;
            settings.coldLimit = m_options.coldLimit;
            settings.coldCalls = m_options.coldCalls;
            settings.callTime = m_options.callTime;
            settings.tokenTime = m_options.tokenTime;
            settings.faults = m_options.faults;
            settings.seed = m_options.seed * 1'000 + settings.port;
            const std::string name = std::string(it.prefix) + "-" + dataCentre;
            m_poolTargetsYaml[it.pool] += "  - { name: " + name + ", address: \"" + FakeAddress::text() + ":"
                + std::to_string(settings.port) + "\", data_centre: " + dataCentre + ", slots: " + std::to_string(m_options.slots)
                + ", cold_slots: " + std::to_string(m_options.coldLimit) + " }\n";
            m_targets[name] = std::make_unique<FakeTarget>(pool->executor(), settings);
        }
    }
}

void Deployment::makeDaemonSettings()
{
    std::vector<PeerSettings> peers;
    for (const std::string &dataCentre : m_options.centres) {
        for (std::size_t it = 0; it < m_options.daemonsPerCentre; ++it) {
            ProcessSettings settings;
            settings.vm = "entry-" + dataCentre + "-" + std::to_string(it);
            settings.dataCentre = dataCentre;
            settings.workers = m_options.workers;
            settings.callers = {FakeAddress::text(), m_nextPort++};
            settings.administration = {FakeAddress::text(), m_nextPort++};
            settings.peerListen = {FakeAddress::text(), m_nextPort++};
            settings.peerKey = "a key for tests only";
            settings.platform = {FakeAddress::text(), static_cast<std::uint16_t>(m_nextPort / portsPerDeployment * portsPerDeployment)};
            peers.push_back({settings.vm, dataCentre, settings.peerListen});
            m_settings.push_back(std::move(settings));
        }
    }
    for (ProcessSettings &it : m_settings) {
        it.peers = peers;
        if (m_options.adjust) {
            m_options.adjust(it);
        }
    }
    m_daemons.resize(m_settings.size());
}

void Deployment::publishConfiguration()
{
    SettingsErrors errors;
    const std::optional<SettingsFile> file = SettingsFile::load(GUAVALOCK_SOURCE_DIR "/Utilities/Demo/configuration.yaml", errors);
    std::map<std::string, std::string> documents = file->documents(errors);
    for (const TargetKind &it : targetKinds) {
        documents[it.pool] = std::string("dialect: ") + it.dialect + "\ntargets:\n" + m_poolTargetsYaml[it.pool];
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
        waitFor("daemon ready", [this, it] { return isReady(it); });
    }
}

void Deployment::startDaemon(std::size_t index)
{
    m_daemons[index] = std::make_unique<Daemon>(m_settings[index]);
    m_daemons[index]->start();
}

bool Deployment::isReady(std::size_t index)
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
        return row.at("state") == "live" && row.at("pools").to_number<std::size_t>() == targetKinds.size();
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
    const std::optional<boost::json::value> current = client.get("configuration/" + path, reason);
    CPPUNIT_ASSERT_MESSAGE(reason.text, current.has_value());
    const std::string version = std::to_string(current->as_object().at("version").to_number<std::uint64_t>());
    CPPUNIT_ASSERT_MESSAGE(reason.text, client.put("configuration/" + path, text, {{"X-Expected-Version", version}}, reason).has_value());
}

std::unique_ptr<LoadGenerator> Deployment::load(LoadPlan plan)
{
    if (plan.daemons.empty()) {
        plan.daemons = callers();
    }
    auto generator = std::make_unique<LoadGenerator>(pool->executor(), plan);
    generator->run();
    LoadStatistics &statistics = generator->tally();
    const std::string firstViolation = statistics.violations.empty() ? "" : statistics.violations.front();
    CPPUNIT_ASSERT_EQUAL_MESSAGE(firstViolation, std::size_t(0), statistics.violations.size());
    std::map<std::string, std::size_t> runs;
    for (const auto &[name, target] : m_targets) {
        const FakeTarget::Counts counts = target->counts();
        CPPUNIT_ASSERT_EQUAL_MESSAGE(name + " exceeded its cold limit", std::size_t(0), counts.coldExceeded);
        for (const auto &[key, n] : counts.executionsByKey) {
            runs[key] += n;
        }
        for (const std::string &it : statistics.notRun) {
            CPPUNIT_ASSERT_MESSAGE(name + " executed " + it + ", which was reported as not executed",
                                   !counts.executedRequestIds.contains(it));
        }
    }
    for (const auto &[key, answered] : statistics.bookings) {
        CPPUNIT_ASSERT_MESSAGE(key + " was executed " + std::to_string(runs[key]) + " times: " + statistics.history[key], runs[key] <= 1);
        CPPUNIT_ASSERT_MESSAGE(key + " was answered but never executed", !answered || runs[key] == 1);
    }
    return generator;
}

void Deployment::waitFor(const std::string &what, const std::function<bool()> &condition, std::chrono::milliseconds timeout)
{
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    while (!condition()) {
        CPPUNIT_ASSERT_MESSAGE("timed out waiting for: " + what, std::chrono::steady_clock::now() < deadline);
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
}

} // namespace Guavalock
