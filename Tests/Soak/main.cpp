#include "SoakRun.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <csignal>
#include <filesystem>
#include <iostream>

ABSL_FLAG(std::string, daemon, "build/release/bin/guavalockd", "path of the daemon");
ABSL_FLAG(std::string, folder, "/tmp/guavalock-soak", "folder for settings and logs, one subfolder a seed");
ABSL_FLAG(std::uint64_t, seed, 1, "first seed");
ABSL_FLAG(std::uint64_t, seeds, 1, "number of seeds");
ABSL_FLAG(std::uint32_t, seconds, 20, "length of the faults of one seed, in seconds");
ABSL_FLAG(std::uint32_t, slot, 0, "number of this run among those beside it, 0 to 9");
ABSL_FLAG(std::uint32_t, daemons, 4, "daemons of a run");

/// Runs seeds one after the other; exits with 1 when any broke a promise. The logs of such a seed stay.
int main(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    absl::SetProgramUsageMessage("guavalock-soak: real daemons under faults from outside");
    absl::ParseCommandLine(argc, argv);
    std::size_t failed = 0;
    const std::uint64_t first = absl::GetFlag(FLAGS_seed);
    for (std::uint64_t seed = first; seed < first + absl::GetFlag(FLAGS_seeds); ++seed) {
        const std::string folder = absl::GetFlag(FLAGS_folder) + "/seed-" + std::to_string(seed);
        std::filesystem::remove_all(folder);
        std::filesystem::create_directories(folder);
        Guavalock::SoakRun run({absl::GetFlag(FLAGS_daemon), folder, seed, absl::GetFlag(FLAGS_slot), absl::GetFlag(FLAGS_daemons), 3,
                                std::chrono::seconds(absl::GetFlag(FLAGS_seconds))});
        const std::vector<std::string> broken = run.run();
        std::cout << run.summary() << ", " << broken.size() << " violations\n";
        for (const std::string &it : broken) {
            std::cout << "  " << it << '\n';
        }
        failed += broken.empty() ? 0 : 1;
    }
    std::cout << "soak: " << failed << " seeds with violations\n";
    return failed == 0 ? 0 : 1;
}
