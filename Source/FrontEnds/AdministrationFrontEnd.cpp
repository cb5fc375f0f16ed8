#include "Flow/Cancellation.h"
#include "FrontEnds/FrontEnd.h"
#include "FrontEnds/FrontEndContext.h"
#include "FrontEnds/HttpExchange.h"
#include "FrontEnds/HttpHandler.h"
#include "FrontEnds/HttpServer.h"
#include "Kernel/Metrics.h"
#include "Kernel/Registration.h"
#include "Pipeline/DaemonContext.h"
#include "Platform/ConfigurationService.h"
#include "Reports/Report.h"
#include "Settings/Configuration.h"
#include "Settings/ConfigurationDocument.h"
#include "Settings/ProcessSettings.h"
#include "Tables/MemberTable.h"
#include "Tables/RequestTable.h"
#include "Tables/TargetTable.h"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

#include <array>
#include <charconv>
#include <map>
#include <span>

namespace Guavalock
{

namespace Asio = boost::asio;

namespace
{

constexpr const char *jsonType = "application/json";
constexpr std::string_view pathPrefix = "/admin/v1/";

double milliseconds(Clock::Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

std::uint64_t parseUnsigned(std::string_view text)
{
    std::uint64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

/// The administration API: daemon state, reports, metrics and the configuration tree.
class AdministrationFrontEnd : public FrontEnd, public HttpHandler
{
public:
    explicit AdministrationFrontEnd(const FrontEndContext &context)
        : m_context(context)
        , m_server(context.daemon, context.daemon.settings.administration, *this)
        , m_reports(Registry<Report>::instance().createAll())
    {
    }

    void start() override
    {
        m_server.start();
    }

    /// Does nothing: the administration API stays available until the daemon stops.
    void announceShutdown() override
    {
    }

    void stop() override
    {
        m_server.stopAccepting();
    }

    Asio::awaitable<void> handle(HttpExchange &exchange) override
    {
        const std::string_view path = exchange.path();
        const std::string_view rest = path.starts_with(pathPrefix) ? path.substr(pathPrefix.size()) : std::string_view();
        const std::string_view resource = rest.substr(0, rest.find('/'));
        const std::string name(rest.substr(std::min(rest.size(), resource.size() + 1)));
        bool resourceExists = false;
        for (const Route &it : routes()) {
            if (it.resource != resource) {
                continue;
            }
            resourceExists = true;
            if (it.method == exchange.method()) {
                co_await (this->*it.handler)(exchange, name);
                co_return;
            }
        }
        const ResultCode code = resourceExists ? ResultCode::MethodNotAllowed : ResultCode::UnknownPath;
        Refusal refusal
            = Refusal::of(code, RunState::No, "no such resource or method; docs/ADMINISTRATION.md lists the resources of /admin/v1");
        co_await exchange.refuse(std::move(refusal), {});
    }

private:
    using Handler = Asio::awaitable<void> (AdministrationFrontEnd::*)(HttpExchange &, std::string);

    struct Route {
        std::string_view method;
        std::string_view resource;
        Handler handler;
    };

    static std::span<const Route> routes();

    Asio::awaitable<void> sendJson(HttpExchange &exchange, const boost::json::value &value)
    {
        co_await exchange.respond(200, jsonType, boost::json::serialize(value) + "\n");
    }

    Asio::awaitable<void> status(HttpExchange &exchange, std::string)
    {
        const DaemonContext &context = m_context.daemon;
        const Clock::TimePoint now = context.clock.now();
        boost::json::object object{{"vm", context.settings.vm},
                                   {"data_centre", context.settings.dataCentre},
                                   {"incarnation", context.incarnation},
                                   {"draining", context.requests.draining()},
                                   {"requests_in_progress", context.requests.inProgress()},
                                   {"configuration_next", context.configuration.nextOffset()},
                                   {"log_age_ms", milliseconds(m_context.configuration.logAge(now))}};
        co_await sendJson(exchange, object);
    }

    Asio::awaitable<void> metrics(HttpExchange &exchange, std::string)
    {
        co_await exchange.respond(200, "text/plain; version=0.0.4", m_context.daemon.metrics.prometheusText());
    }

    Asio::awaitable<void> targets(HttpExchange &exchange, std::string)
    {
        boost::json::array rows;
        for (const TargetTable::Row &it : m_context.daemon.targets.rows()) {
            rows.push_back(boost::json::object{{"pool", it.pool},
                                               {"target", it.target},
                                               {"address", it.address},
                                               {"data_centre", it.dataCentre},
                                               {"state", it.warmth},
                                               {"in_service", it.inService},
                                               {"outstanding", it.outstanding},
                                               {"limit", it.limit},
                                               {"incarnation", it.incarnation},
                                               {"mean_ms", milliseconds(it.mean)}});
        }
        co_await sendJson(exchange, rows);
    }

    Asio::awaitable<void> members(HttpExchange &exchange, std::string)
    {
        boost::json::array rows;
        for (const MemberTable::Row &it : m_context.members.rows(m_context.daemon.clock.now())) {
            rows.push_back(boost::json::object{{"vm", it.vm},
                                               {"data_centre", it.dataCentre},
                                               {"state", it.state},
                                               {"configuration_next", it.nextConfigurationOffset},
                                               {"pools", it.pools}});
        }
        co_await sendJson(exchange, rows);
    }

    Asio::awaitable<void> plugins(HttpExchange &exchange, std::string)
    {
        boost::json::array rows;
        for (const PluginCatalogue::Entry &it : PluginCatalogue::instance().entries()) {
            rows.push_back(boost::json::object{{"kind", it.kind}, {"name", it.name}, {"summary", it.summary}});
        }
        co_await sendJson(exchange, rows);
    }

    Asio::awaitable<void> report(HttpExchange &exchange, std::string name)
    {
        const auto it = m_reports.find(name);
        if (it == m_reports.end()) {
            Refusal refusal
                = Refusal::of(ResultCode::UnknownPath, RunState::No, "unknown report; /admin/v1/plugins lists the available ones");
            co_await exchange.refuse(std::move(refusal), {});
            co_return;
        }
        boost::json::object part = it->second->part(m_context.daemon);
        part["vm"] = m_context.daemon.settings.vm;
        co_await sendJson(exchange, part);
    }

    Asio::awaitable<void> getConfiguration(HttpExchange &exchange, std::string path)
    {
        const ConfigurationTree tree = m_context.daemon.configuration.tree();
        boost::json::object documents;
        for (const auto &[name, text] : tree.documents()) {
            const bool below = path.empty() || name == path || name.starts_with(path + "/");
            if (below) {
                documents[name] = text;
            }
        }
        boost::json::object response{{"next", tree.nextOffset()}, {"documents", std::move(documents)}};
        if (!path.empty()) {
            response["subtree"] = ConfigurationDocument::subtree(path);
            response["version"] = tree.version(ConfigurationDocument::subtree(path));
        }
        co_await sendJson(exchange, response);
    }

    Asio::awaitable<void> putConfiguration(HttpExchange &exchange, std::string path)
    {
        co_await applyChange(exchange, std::move(path), exchange.body());
    }

    Asio::awaitable<void> deleteConfiguration(HttpExchange &exchange, std::string path)
    {
        co_await applyChange(exchange, std::move(path), std::nullopt);
    }

    Asio::awaitable<void> applyChange(HttpExchange &exchange, std::string path, std::optional<std::string> value)
    {
        ConfigurationRecord record;
        record.path = std::move(path);
        record.value = std::move(value);
        record.author = exchange.header("X-Author");
        record.expectedVersion = parseUnsigned(exchange.header("X-Expected-Version"));
        Reason reason;
        const std::optional<std::uint64_t> version
            = co_await m_context.configuration.put(std::move(record), exchange.cancellation(), reason);
        if (!version) {
            const RunState run = reason.code == ResultCode::AppendUnsettled ? RunState::Unknown : RunState::No;
            Refusal refusal = Refusal::of(reason.code, run, reason.text);
            co_await exchange.refuse(std::move(refusal), {});
            co_return;
        }
        const boost::json::object response{{"version", *version}};
        co_await sendJson(exchange, response);
    }

    FrontEndContext m_context;
    HttpServer m_server;
    std::map<std::string, std::unique_ptr<Report>> m_reports;
};

std::span<const AdministrationFrontEnd::Route> AdministrationFrontEnd::routes()
{
    using Self = AdministrationFrontEnd;
    static const std::array table = {
        Route{"GET", "status", &Self::status},
        Route{"GET", "metrics", &Self::metrics},
        Route{"GET", "targets", &Self::targets},
        Route{"GET", "members", &Self::members},
        Route{"GET", "plugins", &Self::plugins},
        Route{"GET", "reports", &Self::report},
        Route{"GET", "configuration", &Self::getConfiguration},
        Route{"PUT", "configuration", &Self::putConfiguration},
        Route{"DELETE", "configuration", &Self::deleteConfiguration},
    };
    return table;
}

const Registration<FrontEnd, AdministrationFrontEnd, const FrontEndContext &> registration("administration",
                                                                                           "administration API over HTTP");

} // namespace

} // namespace Guavalock
