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

/// The command line: finds the subcommand and runs it.
class Tool
{
public:
    struct Options {
        std::vector<std::string> daemons; ///< Administration addresses.
        std::string author;
        bool json = false;
        std::size_t seeds = 1; ///< How many seeds a scenario runs with.
        bool trace = false;
        std::vector<std::string> policies; ///< Run a scenario with each, to compare.
        std::string site; ///< The site plug-in whose settings are checked; empty for the product's own.
    };

    explicit Tool(Options options);

    /// Runs the command that the words name. Returns the exit status: 0, 2 for wrong usage, or the result's family.
    int run(const std::vector<std::string> &words);

    /// Returns the list of commands.
    static std::string help();

private:
    using Words = std::span<const std::string>;
    using Run = int (Tool::*)(Words);

    struct Command {
        std::string_view name;
        std::string_view arguments;
        std::string_view summary;
        std::size_t fewest;
        Run run;
    };

    static std::span<const Command> commands();

    int check(Words words);
    int explain(Words words);
    bool checkSite(const std::string &file, Reason &reason) const;
    int plugins(Words words);
    int codes(Words words);
    int status(Words words);
    int targets(Words words);
    int members(Words words);
    int report(Words words);
    int scenario(Words words);
    int configGet(Words words);
    int configPut(Words words);
    int configDelete(Words words);
    int configLoad(Words words);
    int centreOut(Words words);
    int centreIn(Words words);
    int targetOut(Words words);
    int targetIn(Words words);

    int showRows(const std::string &resource, std::initializer_list<const char *> columns);
    int putService(const std::string &path, const char *service);
    int putDocument(const std::string &path, const std::string &text);
    std::optional<std::uint64_t> version(const std::string &path, Reason &reason);
    std::optional<AdministrationClient> firstDaemon(Reason &reason) const;
    std::vector<AdministrationClient> allDaemons(Reason &reason) const;
    int fail(const Reason &reason) const;

    Options m_options;
};

} // namespace Guavalock
