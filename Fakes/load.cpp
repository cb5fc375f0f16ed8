#include "Kernel/WorkerPool.h"
#include "LoadGenerator.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <algorithm>
#include <csignal>
#include <iostream>

ABSL_FLAG(std::vector<std::string>, daemons, {}, "comma-separated caller-facing addresses of the daemons");
ABSL_FLAG(std::uint64_t, requests, 1000, "number of requests to send");
ABSL_FLAG(std::uint64_t, connections, 16, "number of concurrent requests");
ABSL_FLAG(double, streams, 0.3, "share of the non-booking requests whose response is streamed");
ABSL_FLAG(double, bookings, 0.1, "share of the requests that are bookings, which are not idempotent");
ABSL_FLAG(std::uint64_t, seed, 1, "seed of the random number generators");

using namespace Guavalock;

/// Sends load to running daemons, verifies the responses and prints statistics.
///
/// Exits with 1 if a response was wrong or a connection was interrupted, and with 2 on invalid arguments.
int main(int argc, char **argv)
{
    absl::ParseCommandLine(argc, argv);
    std::signal(SIGPIPE, SIG_IGN);
    LoadPlan plan;
    for (const std::string &it : absl::GetFlag(FLAGS_daemons)) {
        const std::optional<Endpoint> endpoint = Endpoint::parse(it);
        if (!endpoint) {
            std::cerr << "guavalock-load: '" << it << "' is not an address of the form IP:PORT\n";
            return 2;
        }
        plan.daemons.push_back(*endpoint);
    }
    if (plan.daemons.empty()) {
        std::cerr << "guavalock-load: --daemons is required\n";
        return 2;
    }
    plan.requests = absl::GetFlag(FLAGS_requests);
    plan.connections = absl::GetFlag(FLAGS_connections);
    plan.streamShare = absl::GetFlag(FLAGS_streams);
    plan.bookingShare = absl::GetFlag(FLAGS_bookings);
    plan.seed = absl::GetFlag(FLAGS_seed);
    WorkerPool pool(2);
    LoadGenerator driver(pool.executor(), plan);
    driver.run();
    LoadStatistics &tally = driver.tally();
    std::ranges::sort(tally.latencies);
    std::cout << "sent " << tally.sent << ", completed " << tally.answered << " (" << tally.streamed << " streamed), interrupted "
              << tally.cut << ", violations " << tally.violations.size() << '\n';
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
