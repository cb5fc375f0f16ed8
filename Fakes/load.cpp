#include "Kernel/WorkerPool.h"
#include "LoadDriver.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <algorithm>
#include <csignal>
#include <iostream>

ABSL_FLAG(std::vector<std::string>, daemons, {}, "callers' addresses of the daemons, with commas between them");
ABSL_FLAG(std::uint64_t, requests, 1000, "how many requests to send");
ABSL_FLAG(std::uint64_t, connections, 16, "how many requests are in progress at once");
ABSL_FLAG(double, streams, 0.3, "share of the requests whose answer is streamed");
ABSL_FLAG(double, bookings, 0.1, "share of the requests that may not be repeated");
ABSL_FLAG(std::uint64_t, seed, 1, "seed of everything that is drawn");

using namespace Guavalock;

/// Sends load to running daemons, checks every answer and prints the tally. Exits 1 when an answer was wrong or cut.
int main(int argc, char **argv)
{
    absl::ParseCommandLine(argc, argv);
    std::signal(SIGPIPE, SIG_IGN);
    LoadPlan plan;
    for (const std::string &it : absl::GetFlag(FLAGS_daemons)) {
        const std::optional<Endpoint> endpoint = Endpoint::parse(it);
        if (!endpoint) {
            std::cerr << "guavalock-load: '" << it << "' is not an IP number and a port\n";
            return 2;
        }
        plan.daemons.push_back(*endpoint);
    }
    if (plan.daemons.empty()) {
        std::cerr << "guavalock-load: name the daemons with --daemons\n";
        return 2;
    }
    plan.requests = absl::GetFlag(FLAGS_requests);
    plan.connections = absl::GetFlag(FLAGS_connections);
    plan.streamShare = absl::GetFlag(FLAGS_streams);
    plan.bookingShare = absl::GetFlag(FLAGS_bookings);
    plan.seed = absl::GetFlag(FLAGS_seed);
    WorkerPool pool(2);
    LoadDriver driver(pool.executor(), plan);
    driver.run();
    LoadTally &tally = driver.tally();
    std::ranges::sort(tally.latencies);
    std::cout << "sent " << tally.sent << ", whole answers " << tally.answered << " (" << tally.streamed << " streamed), cut " << tally.cut
              << ", violations " << tally.violations.size() << '\n';
    for (const auto &[code, n] : tally.refused) {
        std::cout << "refused with " << code << ": " << n << '\n';
    }
    if (!tally.latencies.empty()) {
        std::cout << "median " << tally.latencies[tally.latencies.size() / 2].count() << " us, 95th percentile "
                  << tally.latencies[tally.latencies.size() * 95 / 100].count() << " us\n";
    }
    for (const std::string &it : tally.violations) {
        std::cout << "VIOLATION " << it << '\n';
    }
    return tally.violations.empty() && tally.cut == 0 ? 0 : 1;
}
