#include "Tool/Tool.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

ABSL_FLAG(std::vector<std::string>, daemons, {}, "administration addresses of the daemons, with commas between them");
ABSL_FLAG(std::string, author, "operator", "who makes a change, for the audit trail");
ABSL_FLAG(std::uint64_t, seeds, 1, "for scenarios: how many seeds to run, from the file's on");
ABSL_FLAG(bool, trace, false, "for scenarios: print every event");
ABSL_FLAG(std::vector<std::string>, policies, {}, "for scenarios: run with each of these routing policies and compare");
ABSL_FLAG(std::string, site, "", "for check: the site plug-in whose settings the files hold");
ABSL_FLAG(bool, json, false, "print JSON instead of tables");

int main(int argc, char **argv)
{
    using Guavalock::Tool;
    absl::SetProgramUsageMessage(Tool::help());
    const std::vector<char *> rest = absl::ParseCommandLine(argc, argv);
    const std::vector<std::string> words(rest.begin() + 1, rest.end());
    Tool tool({absl::GetFlag(FLAGS_daemons), absl::GetFlag(FLAGS_author), absl::GetFlag(FLAGS_json), absl::GetFlag(FLAGS_seeds),
               absl::GetFlag(FLAGS_trace), absl::GetFlag(FLAGS_policies), absl::GetFlag(FLAGS_site)});
    return tool.run(words);
}
