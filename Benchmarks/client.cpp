#include "Kernel/WorkerPool.h"
#include "LoadClient.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/use_future.hpp>

#include <algorithm>
#include <csignal>
#include <future>
#include <iostream>
#include <mutex>
#include <thread>

ABSL_FLAG(std::string, mode, "requests", "what to measure: requests, streams or connections");
ABSL_FLAG(std::vector<std::string>, calls, {},
          "calls that make up one request, in order, each as PORT/PATH=BODY; a semicolon in BODY stands for a comma");
ABSL_FLAG(std::uint64_t, requests, 1000, "number of requests to send");
ABSL_FLAG(std::uint64_t, connections, 1, "number of concurrent requests, or of connections to hold");
ABSL_FLAG(std::uint64_t, hold_seconds, 5, "seconds to hold connections");
ABSL_FLAG(std::uint64_t, threads, 1, "number of client threads");

using namespace Guavalock;

namespace
{

namespace Asio = boost::asio;
using Microseconds = std::chrono::microseconds;
using SteadyClock = std::chrono::steady_clock;

struct Call {
    Endpoint endpoint;
    std::string path;
    std::string body;
};

struct Samples {
    std::mutex mutex;
    std::vector<Microseconds> values;
    std::size_t failures = 0;
    std::size_t tokens = 0;

    void add(const std::vector<Microseconds> &more)
    {
        const std::scoped_lock lock(mutex);
        values.insert(values.end(), more.begin(), more.end());
    }

    void print(const char *name, std::chrono::duration<double> elapsed)
    {
        std::ranges::sort(values);
        const auto quantile = [&](double q) {
            return values[static_cast<std::size_t>(q * static_cast<double>(values.size() - 1))].count();
        };
        std::cout << name << "_count " << values.size() << "\n" << name << "_failures " << failures << "\n";
        if (!values.empty()) {
            std::cout << name << "_median_us " << quantile(0.5) << "\n" << name << "_p95_us " << quantile(0.95) << "\n";
            std::cout << name << "_per_second " << static_cast<double>(values.size()) / elapsed.count() << "\n";
        }
        std::cout << name << "_tokens " << tokens << "\n";
    }
};

std::vector<Call> parseCalls()
{
    std::vector<Call> calls;
    for (const std::string &it : absl::GetFlag(FLAGS_calls)) {
        const std::size_t slash = it.find('/');
        const std::size_t equals = it.find('=');
        std::string body = it.substr(equals + 1);
        std::ranges::replace(body, ';', ',');
        calls.push_back(
            {{"127.0.0.1", static_cast<std::uint16_t>(std::stoi(it.substr(0, slash)))}, it.substr(slash, equals - slash), body});
    }
    return calls;
}

/// Sends requests sequentially, each as a list of calls. Samples the request latency, or the gap between reads of a stream.
Asio::awaitable<void> sendRequests(const std::vector<Call> &calls, std::size_t requests, bool stream, Samples &samples)
{
    const Asio::any_io_executor strand = co_await Asio::this_coro::executor;
    std::vector<std::unique_ptr<LoadClient>> clients;
    for (std::size_t it = 0; it < calls.size(); ++it) {
        clients.push_back(std::make_unique<LoadClient>(strand));
    }
    std::vector<Microseconds> ownSamples;
    std::size_t failures = 0;
    std::size_t tokens = 0;
    for (std::size_t n = 0; n < requests; ++n) {
        const SteadyClock::time_point start = SteadyClock::now();
        SteadyClock::time_point lastArrival{};
        for (std::size_t it = 0; it < calls.size(); ++it) {
            LoadClient::Request request;
            request.path = calls[it].path;
            request.body = calls[it].body;
            request.headers.emplace_back("X-Organisation", "mill");
            request.headers.emplace_back("X-Attempt-Id", "bench");
            request.stream = stream;
            if (stream) {
                clients[it]->onBodyBytes = [&](std::size_t) {
                    const SteadyClock::time_point now = SteadyClock::now();
                    if (lastArrival != SteadyClock::time_point{}) {
                        ownSamples.push_back(std::chrono::duration_cast<Microseconds>(now - lastArrival));
                    }
                    lastArrival = now;
                };
            }
            const LoadClient::Response response = co_await clients[it]->send(calls[it].endpoint, std::move(request));
            failures += response.status == 200 ? 0 : 1;
            for (std::size_t at = response.body.find("\"position\""); at != std::string::npos;
                 at = response.body.find("\"position\"", at + 1)) {
                ++tokens;
            }
        }
        if (!stream) {
            ownSamples.push_back(std::chrono::duration_cast<Microseconds>(SteadyClock::now() - start));
        }
    }
    samples.add(ownSamples);
    const std::scoped_lock lock(samples.mutex);
    samples.failures += failures;
    samples.tokens += tokens;
}

void holdConnections(const Endpoint &endpoint, std::size_t connections, std::chrono::seconds time)
{
    Asio::io_context context;
    std::vector<Asio::ip::tcp::socket> sockets;
    for (std::size_t it = 0; it < connections; ++it) {
        sockets.emplace_back(context);
        sockets.back().connect({Asio::ip::make_address(endpoint.address), endpoint.port});
    }
    std::cout << "connections_held " << sockets.size() << std::endl;
    std::this_thread::sleep_for(time);
}

} // namespace

/// Measures request latency or the gaps between reads of a stream, or holds idle connections. Prints one figure per line.
int main(int argc, char **argv)
{
    absl::ParseCommandLine(argc, argv);
    std::signal(SIGPIPE, SIG_IGN);
    const std::vector<Call> calls = parseCalls();
    const std::size_t connections = absl::GetFlag(FLAGS_connections);
    if (absl::GetFlag(FLAGS_mode) == "connections") {
        holdConnections(calls.front().endpoint, connections, std::chrono::seconds(absl::GetFlag(FLAGS_hold_seconds)));
        return 0;
    }
    const bool stream = absl::GetFlag(FLAGS_mode) == "streams";
    WorkerPool pool(absl::GetFlag(FLAGS_threads));
    Samples samples;
    std::vector<std::future<void>> futures;
    const SteadyClock::time_point start = SteadyClock::now();
    for (std::size_t it = 0; it < connections; ++it) {
        const std::size_t requestsPerConnection = absl::GetFlag(FLAGS_requests) / connections;
        auto run = [&calls, requestsPerConnection, stream, &samples] {
            return sendRequests(calls, requestsPerConnection, stream, samples);
        };
        futures.push_back(Asio::co_spawn(Asio::make_strand(pool.executor()), run, Asio::use_future));
    }
    for (std::future<void> &it : futures) {
        it.get();
    }
    samples.print(stream ? "gap" : "request", SteadyClock::now() - start);
    return 0;
}
