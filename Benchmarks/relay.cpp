#include "FakeServer.h"
#include "Flow/Cancellation.h"
#include "Kernel/WorkerPool.h"
#include "LoadClient.h"

#include <boost/asio/strand.hpp>

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <map>

using namespace Guavalock;

namespace
{

/// One of the sequential calls that the relay makes for each request.
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

/// A minimal relay with as many hops as the quote pipeline, as the baseline of the daemon's throughput.
///
/// Uses one thread, and one persistent connection per caller to each target.
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
    std::map<FakeServer::Socket *, std::vector<std::unique_ptr<LoadClient>>> clients;
    auto handle = [&](FakeServer::Socket &socket, FakeServer::Request) -> boost::asio::awaitable<bool> {
        std::vector<std::unique_ptr<LoadClient>> &connectionClients = clients[&socket];
        std::string body;
        for (std::size_t it = 0; it < std::size(hops); ++it) {
            if (connectionClients.size() <= it) {
                connectionClients.push_back(std::make_unique<LoadClient>(strand));
            }
            LoadClient::Request request;
            request.path = hops[it].path;
            request.body = hops[it].body;
            const Endpoint target{"127.0.0.1", hops[it].port};
            const LoadClient::Response response = co_await connectionClients[it]->send(target, std::move(request));
            body = response.body;
        }
        FakeServer::Response response = FakeServer::jsonResponse(200, std::move(body));
        const bool sent = co_await FakeServer::send(socket, std::move(response));
        co_return sent;
    };
    FakeServer server(strand, static_cast<std::uint16_t>(std::atoi(argv[1])), handle);
    server.listen();
    int signal = 0;
    sigwait(&signals, &signal);
    pool.stop();
    return 0;
}
