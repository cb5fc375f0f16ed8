#include "SoakRun.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <chrono>
#include <csignal>
#include <filesystem>
#include <iostream>

ABSL_FLAG(std::string, daemon, "build/release/bin/guavalockd", "path of the daemon");
ABSL_FLAG(std::string, folder, "/tmp/guavalock-soak", "folder for settings and logs, with one subfolder per seed");
ABSL_FLAG(std::uint64_t, seed, 1, "first seed");
ABSL_FLAG(std::uint64_t, seeds, 1, "number of seeds");
ABSL_FLAG(std::uint32_t, seconds, 20, "how long faults are injected for each seed, in seconds");
ABSL_FLAG(std::uint32_t, slot, 0, "slot of this run among parallel runs, 0 to 9");
ABSL_FLAG(std::uint32_t, daemons, 4, "number of daemons in a run");

/// Runs the seeds sequentially and exits with 1 if any of them violated a guarantee.
///
/// The logs of a seed are kept until it is run again, and those of a failed run for good.
int main(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    absl::SetProgramUsageMessage("guavalock-soak: runs daemons as processes under injected faults");
    absl::ParseCommandLine(argc, argv);
    std::size_t failed = 0;
    const std::uint64_t first = absl::GetFlag(FLAGS_seed);
    for (std::uint64_t seed = first; seed < first + absl::GetFlag(FLAGS_seeds); ++seed) {
        const std::string folder = absl::GetFlag(FLAGS_folder) + "/seed-" + std::to_string(seed);
        std::filesystem::remove_all(folder);
        std::filesystem::create_directories(folder);
        Guavalock::SoakRun run({absl::GetFlag(FLAGS_daemon), folder, seed, absl::GetFlag(FLAGS_slot), absl::GetFlag(FLAGS_daemons), 3,
                                std::chrono::seconds(absl::GetFlag(FLAGS_seconds))});
        const std::vector<std::string> violations = run.run();
        std::cout << run.summary() << ", " << violations.size() << " violations\n";
        for (const std::string &it : violations) {
            std::cout << "  " << it << '\n';
        }
        if (!violations.empty()) {
            ++failed;
            const auto time = std::chrono::system_clock::now().time_since_epoch();
            const std::string kept = folder + "-failed-" + std::to_string(std::chrono::duration_cast<std::chrono::seconds>(time).count());
            std::filesystem::rename(folder, kept);
            std::cout << "  logs: " << kept << '\n';
        }
    }
    std::cout << "soak: " << failed << " seeds with violations\n";
    return failed == 0 ? 0 : 1;
}
