#pragma once

#include "Kernel/Reason.h"
#include "Tool/AdministrationClient.h"

#include <initializer_list>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Guavalock
{

/// The command-line tool: finds the subcommand and runs it.
class Tool
{
public:
    struct Options {
        std::vector<std::string> daemons; ///< Administration endpoints.
        std::string author;
        bool json = false;
        std::size_t seeds = 1; ///< Number of seeds for each scenario.
        bool trace = false;
        std::vector<std::string> policies; ///< Routing policies to compare in each scenario.
        std::string site; ///< Site plug-in that validates settings files; empty for Guavalock's own settings.
    };

    explicit Tool(Options options);

    /// Runs the command named by the arguments. Returns the exit status: 0, 1 if explain finds nothing, 2 for wrong usage, or the family
    /// of the result code.
    int run(const std::vector<std::string> &arguments);

    /// Returns the usage message with the list of commands.
    static std::string help();

private:
    using Arguments = std::span<const std::string>;
    using Run = int (Tool::*)(Arguments);

    struct Command {
        std::string_view name;
        std::string_view argumentSyntax;
        std::string_view summary;
        std::size_t minArguments;
        Run run;
    };

    static std::span<const Command> commands();

    int check(Arguments arguments);
    int explain(Arguments arguments);
    bool checkSite(const std::string &file, Reason &reason) const;
    int plugins(Arguments arguments);
    int codes(Arguments arguments);
    int status(Arguments arguments);
    int targets(Arguments arguments);
    int members(Arguments arguments);
    int report(Arguments arguments);
    int scenario(Arguments arguments);
    int configGet(Arguments arguments);
    int configPut(Arguments arguments);
    int configDelete(Arguments arguments);
    int configLoad(Arguments arguments);
    int dataCentreOut(Arguments arguments);
    int dataCentreIn(Arguments arguments);
    int targetOut(Arguments arguments);
    int targetIn(Arguments arguments);

    int printRows(const std::string &resource, std::initializer_list<const char *> columns);
    int setServiceState(const std::string &path, const char *service);
    int putDocument(const std::string &path, const std::string &text);
    std::optional<std::uint64_t> subtreeVersion(const std::string &path, Reason &reason);
    std::optional<AdministrationClient> firstClient(Reason &reason) const;
    std::vector<AdministrationClient> daemonClients(Reason &reason) const;
    int fail(const Reason &reason) const;

    Options m_options;
};

} // namespace Guavalock
