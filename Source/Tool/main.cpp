#include "Tool/Tool.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

ABSL_FLAG(std::vector<std::string>, daemons, {}, "administration addresses of the daemons, with commas between them");
ABSL_FLAG(std::string, author, "operator", "who makes a change, for the audit trail");
ABSL_FLAG(bool, json, false, "print JSON instead of tables");

int main(int argc, char **argv)
{
    using Guavalock::Tool;
    absl::SetProgramUsageMessage(Tool::help());
    const std::vector<char *> rest = absl::ParseCommandLine(argc, argv);
    const std::vector<std::string> words(rest.begin() + 1, rest.end());
    Tool tool({absl::GetFlag(FLAGS_daemons), absl::GetFlag(FLAGS_author), absl::GetFlag(FLAGS_json)});
    return tool.run(words);
}
