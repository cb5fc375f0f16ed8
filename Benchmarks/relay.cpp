#include "FakeServer.h"
#include "Flow/Cancellation.h"
#include "Kernel/WorkerPool.h"
#include "LoadCaller.h"

#include <boost/asio/strand.hpp>

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <map>

using namespace Guavalock;

namespace
{

/// The calls that the relay makes for each request, one after another.
struct Hop {
    std::uint16_t port;
    const char *path;
    const char *body;
};

constexpr Hop hops[] = {
    {7301, "/v1/embeddings", R"({"input":"x"})"},
    {7311, "/retrieve", R"({"query":"x","top_k":8})"},
    {7321, "/v1/rerank", R"({"query":"x","documents":["a","b","c","d","e","f","g","h"],"top_n":3})"},
    {7331, "/v1/completions", R"({"prompt":"x","max_tokens":24})"},
};

} // namespace

/// The barest thing that does as many hops as a quote: one thread, one kept connection to each target for each caller.
int main(int argc, char **argv)
{
    if (argc != 2) {
        std::cerr << "usage: guavalock-relay PORT\n";
        return 2;
    }
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    WorkerPool pool(1);
    const auto strand = boost::asio::make_strand(pool.executor());
    std::map<FakeServer::Socket *, std::vector<std::unique_ptr<LoadCaller>>> callers;
    auto handle = [&](FakeServer::Socket &socket, FakeServer::Request) -> boost::asio::awaitable<bool> {
        std::vector<std::unique_ptr<LoadCaller>> &own = callers[&socket];
        std::string body;
        for (std::size_t it = 0; it < std::size(hops); ++it) {
            if (own.size() <= it) {
                own.push_back(std::make_unique<LoadCaller>(strand));
            }
            LoadCaller::Request request;
            request.path = hops[it].path;
            request.body = hops[it].body;
            const Endpoint target{"127.0.0.1", hops[it].port};
            const LoadCaller::Answer answer = co_await own[it]->send(target, std::move(request));
            body = answer.body;
        }
        FakeServer::Response response = FakeServer::json(200, std::move(body));
        const bool sent = co_await FakeServer::send(socket, std::move(response));
        co_return sent;
    };
    FakeServer server(strand, static_cast<std::uint16_t>(std::atoi(argv[1])), handle);
    server.open();
    int signal = 0;
    sigwait(&signals, &signal);
    pool.stop();
    return 0;
}
