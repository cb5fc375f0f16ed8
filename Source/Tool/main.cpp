#include "Tool/Tool.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

ABSL_FLAG(std::vector<std::string>, daemons, {}, "comma-separated administration addresses of the daemons");
ABSL_FLAG(std::string, author, "operator", "author of a change, for the audit trail");
ABSL_FLAG(std::uint64_t, seeds, 1, "for scenarios: number of consecutive seeds to run, starting with the file's seed");
ABSL_FLAG(bool, trace, false, "for scenarios: print every event");
ABSL_FLAG(std::vector<std::string>, policies, {}, "for scenarios: comma-separated routing policies to compare");
ABSL_FLAG(std::string, site, "", "for check: site plug-in that validates the files");
ABSL_FLAG(bool, json, false, "print JSON instead of tables");

int main(int argc, char **argv)
{
    using Guavalock::Tool;
    absl::SetProgramUsageMessage(Tool::help());
    const std::vector<char *> remaining = absl::ParseCommandLine(argc, argv);
    const std::vector<std::string> arguments(remaining.begin() + 1, remaining.end());
    Tool tool({absl::GetFlag(FLAGS_daemons), absl::GetFlag(FLAGS_author), absl::GetFlag(FLAGS_json), absl::GetFlag(FLAGS_seeds),
               absl::GetFlag(FLAGS_trace), absl::GetFlag(FLAGS_policies), absl::GetFlag(FLAGS_site)});
    return tool.run(arguments);
}
