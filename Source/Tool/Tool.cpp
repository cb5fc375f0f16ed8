#include "Tool/Tool.h"

#include "Kernel/Registry.h"
#include "Reports/Report.h"
#include "Scenario/ScenarioCommand.h"
#include "Settings/ConfigurationDocument.h"
#include "Settings/SettingsFile.h"
#include "Site/Site.h"
#include "Tool/LogExplainer.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <array>
#include <fstream>
#include <iostream>
#include <iterator>
#include <map>
#include <sstream>

namespace Guavalock
{

namespace
{

constexpr int exitNotFound = 1;
constexpr int exitUsage = 2;
constexpr int exitInvalidSettings = 5;
constexpr std::size_t columnGap = 2;

std::string cellText(const boost::json::value &value)
{
    return value.is_string() ? std::string(value.get_string()) : boost::json::serialize(value);
}

/// Prints rows as a table with a header; each column is as wide as its widest cell.
void printTable(const boost::json::array &rows, std::initializer_list<const char *> columns)
{
    std::vector<std::vector<std::string>> cells(1);
    for (const char *it : columns) {
        cells.front().emplace_back(it);
    }
    for (const boost::json::value &row : rows) {
        std::vector<std::string> line;
        for (const char *it : columns) {
            line.push_back(cellText(row.as_object().at(it)));
        }
        cells.push_back(std::move(line));
    }
    std::vector<std::size_t> widths(columns.size(), 0);
    for (const std::vector<std::string> &line : cells) {
        for (std::size_t it = 0; it < line.size(); ++it) {
            widths[it] = std::max(widths[it], line[it].size() + columnGap);
        }
    }
    for (const std::vector<std::string> &line : cells) {
        for (std::size_t it = 0; it < line.size(); ++it) {
            std::cout << line[it] << std::string(it + 1 < line.size() ? widths[it] - line[it].size() : 0, ' ');
        }
        std::cout << '\n';
    }
}

} // namespace

Tool::Tool(Options options)
    : m_options(std::move(options))
{
}

std::span<const Tool::Command> Tool::commands()
{
    static const std::array table = {
        Command{"check", "FILE...", "check settings files without a daemon", 1, &Tool::check},
        Command{"explain", "ID [FILE...]", "explain the outcome of a request from logs or standard input", 1, &Tool::explain},
        Command{"plugins", "", "list the built-in plug-ins", 0, &Tool::plugins},
        Command{"codes", "", "print the result codes in the format of docs/RESULT-CODES.md", 0, &Tool::codes},
        Command{"status", "", "show the state of each daemon", 0, &Tool::status},
        Command{"targets", "", "show the targets known to the first daemon", 0, &Tool::targets},
        Command{"members", "", "show the peers known to the first daemon", 0, &Tool::members},
        Command{"report", "NAME", "print a report over all daemons: burn or cost", 1, &Tool::report},
        Command{"scenario", "FILE...", "simulate scenarios in virtual time and check the results", 1, &Tool::scenario},
        Command{"config get", "[PATH]", "show documents of the configuration tree", 0, &Tool::configGet},
        Command{"config put", "PATH FILE", "write one document", 2, &Tool::configPut},
        Command{"config delete", "PATH", "delete one document", 1, &Tool::configDelete},
        Command{"config load", "FILE", "write all documents of a file", 1, &Tool::configLoad},
        Command{"dc out", "NAME", "take a data centre out of service", 1, &Tool::dataCentreOut},
        Command{"dc in", "NAME", "return a data centre to service", 1, &Tool::dataCentreIn},
        Command{"target out", "NAME", "take a target out of service", 1, &Tool::targetOut},
        Command{"target in", "NAME", "return a target to service", 1, &Tool::targetIn},
    };
    return table;
}

std::string Tool::help()
{
    std::string text = "usage: guavalock [flags] COMMAND [arguments]\n\n";
    for (const Command &it : commands()) {
        std::string line = "  " + std::string(it.name) + " " + std::string(it.argumentSyntax);
        line.resize(std::max<std::size_t>(line.size() + 1, 28), ' ');
        text += line + std::string(it.summary) + "\n";
    }
    return text
        + "\nexamples: guavalock --daemons 127.0.0.1:8101 report burn\n          guavalock explain 38fd9c3d71e1a975 daemon-*.log\n         "
          " guavalock --site platform check local.json\n";
}

int Tool::run(const std::vector<std::string> &arguments)
{
    for (const Command &it : commands()) {
        std::vector<std::string> name;
        std::istringstream in{std::string(it.name)};
        std::copy(std::istream_iterator<std::string>(in), {}, std::back_inserter(name));
        const bool matches = arguments.size() >= name.size() && std::equal(name.begin(), name.end(), arguments.begin());
        if (!matches) {
            continue;
        }
        const Arguments remaining = Arguments(arguments).subspan(name.size());
        if (remaining.size() < it.minArguments) {
            std::cerr << "usage: guavalock " << it.name << ' ' << it.argumentSyntax << '\n';
            return exitUsage;
        }
        return (this->*it.run)(remaining);
    }
    std::cerr << help();
    return exitUsage;
}

int Tool::fail(const Reason &reason) const
{
    std::cerr << "guavalock: " << reason.text << '\n';
    return static_cast<int>(resultNumber(reason.code) / 100);
}

std::vector<AdministrationClient> Tool::daemonClients(Reason &reason) const
{
    std::vector<AdministrationClient> clients;
    for (const std::string &it : m_options.daemons) {
        const std::optional<Endpoint> endpoint = Endpoint::parse(it);
        if (!endpoint) {
            reason = {ResultCode::SettingsInvalid, "'" + it + "' in --daemons is not an IP address and port, such as 127.0.0.1:8101"};
            return {};
        }
        clients.emplace_back(*endpoint);
    }
    if (clients.empty()) {
        reason = {ResultCode::SettingsInvalid, "no daemons given; pass their administration addresses with --daemons"};
    }
    return clients;
}

std::optional<AdministrationClient> Tool::firstClient(Reason &reason) const
{
    const std::vector<AdministrationClient> clients = daemonClients(reason);
    if (clients.empty()) {
        return std::nullopt;
    }
    return clients.front();
}

int Tool::check(Arguments arguments)
{
    bool allValid = true;
    for (const std::string &it : arguments) {
        if (!m_options.site.empty()) {
            Reason reason;
            const bool valid = checkSite(it, reason);
            if (!valid) {
                std::cout << it << ": " << reason.text << '\n';
            }
            allValid = allValid && valid;
            continue;
        }
        SettingsErrors errors;
        const std::optional<SettingsFile> file = SettingsFile::load(it, errors);
        if (file) {
            file->check(errors);
        }
        for (const SettingsError &error : errors) {
            std::cout << error.text() << '\n';
        }
        allValid = allValid && errors.empty();
    }
    return allValid ? 0 : exitInvalidSettings;
}

bool Tool::checkSite(const std::string &file, Reason &reason) const
{
    const std::unique_ptr<Site> site = Registry<Site>::instance().create(m_options.site);
    if (!site) {
        reason = {ResultCode::UnknownPlugin, "unknown site '" + m_options.site + "'; see 'guavalock plugins'"};
        return false;
    }
    return site->settings(file, reason).has_value();
}

int Tool::explain(Arguments arguments)
{
    LogExplainer explainer;
    for (const std::string &it : arguments.subspan(1)) {
        std::ifstream in(it);
        if (!in) {
            return fail({ResultCode::SettingsInvalid, "cannot read '" + it + "'; check the path"});
        }
        explainer.read(in);
    }
    if (arguments.size() == 1) {
        explainer.read(std::cin);
    }
    const std::string &id = arguments.front();
    const std::string explanation = explainer.explain(id);
    if (explanation.empty()) {
        std::cerr << "guavalock: no log line mentions request " << id << "; check that the logs of all daemons are included\n";
        return exitNotFound;
    }
    if (m_options.json) {
        std::cout << boost::json::serialize(explainer.explainJson(id)) << '\n';
    } else {
        std::cout << explanation;
    }
    return 0;
}

int Tool::plugins(Arguments)
{
    boost::json::array rows;
    for (const PluginCatalogue::Entry &it : PluginCatalogue::instance().entries()) {
        rows.push_back(boost::json::object{{"kind", it.kind}, {"name", it.name}, {"summary", it.summary}});
    }
    printTable(rows, {"kind", "name", "summary"});
    return 0;
}

int Tool::codes(Arguments)
{
    std::cout << "| code | name | HTTP | meaning |\n| --- | --- | --- | --- |\n";
    for (const ResultCodeInfo &it : resultCodes()) {
        std::cout << "| " << resultNumber(it.code) << " | " << it.name << " | " << it.httpStatus << " | " << it.meaning << " |\n";
    }
    return 0;
}

int Tool::status(Arguments)
{
    Reason reason;
    const std::vector<AdministrationClient> clients = daemonClients(reason);
    if (clients.empty()) {
        return fail(reason);
    }
    boost::json::array rows;
    for (const AdministrationClient &it : clients) {
        const std::optional<boost::json::value> answer = it.get("status", reason);
        if (!answer) {
            fail(reason);
            continue;
        }
        rows.push_back(*answer);
    }
    if (m_options.json) {
        std::cout << boost::json::serialize(rows) << '\n';
    } else {
        printTable(rows, {"vm", "data_centre", "draining", "requests_in_progress", "configuration_next", "log_age_ms"});
    }
    return rows.size() == clients.size() ? 0 : static_cast<int>(resultNumber(reason.code) / 100);
}

int Tool::printRows(const std::string &resource, std::initializer_list<const char *> columns)
{
    Reason reason;
    const std::optional<AdministrationClient> client = firstClient(reason);
    const std::optional<boost::json::value> answer = client ? client->get(resource, reason) : std::nullopt;
    if (!answer) {
        return fail(reason);
    }
    if (m_options.json) {
        std::cout << boost::json::serialize(*answer) << '\n';
    } else {
        printTable(answer->as_array(), columns);
    }
    return 0;
}

int Tool::targets(Arguments)
{
    return printRows("targets", {"target", "pool", "data_centre", "state", "in_service", "outstanding", "limit", "mean_ms"});
}

int Tool::members(Arguments)
{
    return printRows("members", {"vm", "data_centre", "state", "configuration_next", "pools"});
}

int Tool::report(Arguments arguments)
{
    const std::unique_ptr<Report> report = Registry<Report>::instance().create(arguments.front());
    if (!report) {
        return fail({ResultCode::UnknownPlugin, "unknown report '" + arguments.front() + "'; see 'guavalock plugins'"});
    }
    Reason reason;
    const std::vector<AdministrationClient> clients = daemonClients(reason);
    if (clients.empty()) {
        return fail(reason);
    }
    std::vector<boost::json::object> parts;
    for (const AdministrationClient &it : clients) {
        const std::optional<boost::json::value> answer = it.get("reports/" + arguments.front(), reason);
        if (answer && answer->is_object()) {
            parts.push_back(answer->get_object());
        } else {
            fail(reason);
        }
    }
    if (m_options.json) {
        std::cout << boost::json::serialize(boost::json::array(parts.begin(), parts.end())) << '\n';
    } else {
        std::cout << report->render(parts, clients.size());
    }
    return parts.size() == clients.size() ? 0 : static_cast<int>(resultNumber(reason.code) / 100);
}

int Tool::scenario(Arguments arguments)
{
    ScenarioCommand command({m_options.seeds, m_options.trace, m_options.policies});
    bool passed = true;
    for (const std::string &it : arguments) {
        passed = command.run(it, std::cout) && passed;
    }
    return passed ? 0 : static_cast<int>(resultNumber(ResultCode::StageFailed) / 100);
}

int Tool::configGet(Arguments arguments)
{
    Reason reason;
    const std::string path = arguments.empty() ? "" : "/" + arguments.front();
    const std::optional<AdministrationClient> client = firstClient(reason);
    const std::optional<boost::json::value> answer = client ? client->get("configuration" + path, reason) : std::nullopt;
    if (!answer) {
        return fail(reason);
    }
    if (m_options.json) {
        std::cout << boost::json::serialize(*answer) << '\n';
        return 0;
    }
    for (const auto &it : answer->as_object().at("documents").as_object()) {
        std::cout << it.key() << ":\n" << cellText(it.value()) << "\n\n";
    }
    return 0;
}

std::optional<std::uint64_t> Tool::subtreeVersion(const std::string &path, Reason &reason)
{
    const std::optional<AdministrationClient> client = firstClient(reason);
    const std::optional<boost::json::value> answer = client ? client->get("configuration/" + path, reason) : std::nullopt;
    if (!answer) {
        return std::nullopt;
    }
    return answer->as_object().at("version").to_number<std::uint64_t>();
}

int Tool::putDocument(const std::string &path, const std::string &text)
{
    Reason reason;
    const std::optional<std::uint64_t> expected = subtreeVersion(path, reason);
    const std::optional<AdministrationClient> client = firstClient(reason);
    if (!expected || !client) {
        return fail(reason);
    }
    const AdministrationClient::Headers headers{{"X-Expected-Version", std::to_string(*expected)}, {"X-Author", m_options.author}};
    const std::optional<boost::json::value> answer = client->put("configuration/" + path, text, headers, reason);
    if (!answer) {
        return fail(reason);
    }
    std::cout << path << " is in effect; " << ConfigurationDocument::subtree(path) << " is at version "
              << answer->as_object().at("version").to_number<std::uint64_t>() << '\n';
    return 0;
}

int Tool::configPut(Arguments arguments)
{
    std::ifstream in(arguments[1]);
    if (!in) {
        return fail({ResultCode::SettingsInvalid, "cannot read '" + arguments[1] + "'; check the path"});
    }
    std::ostringstream text;
    text << in.rdbuf();
    return putDocument(arguments[0], text.str());
}

int Tool::configDelete(Arguments arguments)
{
    Reason reason;
    const std::optional<std::uint64_t> expected = subtreeVersion(arguments.front(), reason);
    const std::optional<AdministrationClient> client = firstClient(reason);
    if (!expected || !client) {
        return fail(reason);
    }
    const AdministrationClient::Headers headers{{"X-Expected-Version", std::to_string(*expected)}, {"X-Author", m_options.author}};
    const std::optional<boost::json::value> answer = client->remove("configuration/" + arguments.front(), headers, reason);
    if (!answer) {
        return fail(reason);
    }
    std::cout << arguments.front() << " deleted\n";
    return 0;
}

int Tool::configLoad(Arguments arguments)
{
    SettingsErrors errors;
    const std::optional<SettingsFile> file = SettingsFile::load(arguments.front(), errors);
    const std::map<std::string, std::string> documents = file ? file->documents(errors) : std::map<std::string, std::string>();
    for (const SettingsError &it : errors) {
        std::cerr << it.text() << '\n';
    }
    if (!errors.empty()) {
        return exitInvalidSettings;
    }
    for (const auto &[path, text] : documents) {
        const int status = putDocument(path, text);
        if (status != 0) {
            return status;
        }
    }
    return 0;
}

int Tool::setServiceState(const std::string &path, const char *service)
{
    return putDocument(path, std::string("service: ") + service + "\n");
}

int Tool::dataCentreOut(Arguments arguments)
{
    return setServiceState("data-centres/" + arguments.front(), "out");
}

int Tool::dataCentreIn(Arguments arguments)
{
    return setServiceState("data-centres/" + arguments.front(), "in");
}

int Tool::targetOut(Arguments arguments)
{
    return setServiceState("targets/" + arguments.front(), "out");
}

int Tool::targetIn(Arguments arguments)
{
    return setServiceState("targets/" + arguments.front(), "in");
}

} // namespace Guavalock
