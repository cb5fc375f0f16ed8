/// An engine answers one request with bytes that are no answer and never end: a chunk header without its end. The platform kills a process
/// that exceeds its memory, as DEPLOY.md says; the requests of all other callers, at sound engines, end without an answer.

#include "../kit/Kit.h"

using namespace Kit;

namespace
{

constexpr int callers = 12;
constexpr int bytesPerSecond = 60'000'000; ///< Half of the 1,000 Mbit/s link of the machine.
constexpr int workMs = 700;

std::atomic<long> sentBytes{0};

/// A sound engine of the order desk.
bool book(Engine &engine, Socket &socket, const Message &request)
{
    const std::string id = request.header("X-Guavalock-Attempt-Id");
    note("engine %s runs %s", engine.id().c_str(), id.c_str());
    sleepFor(request.word(1) == "/book/slow" ? workMs : 20);
    return socket.write(engine.answer(request, "booked " + id));
}

/// The engine in trouble: its answer never ends.
bool draft(Engine &engine, Socket &socket, const Message &request)
{
    const std::string id = request.header("X-Guavalock-Attempt-Id");
    const std::string head = engine.head(request, 200, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
    if (!hasTrouble()) {
        const std::string event = "id: 1\ndata: draft\n\n";
        char size[16];
        std::snprintf(size, sizeof size, "%zx\r\n", event.size());
        return socket.write(head + size + event + "\r\n0\r\n\r\n");
    }
    say("engine %s answers %s with a chunk header without end", engine.id().c_str(), id.c_str());
    const std::string block(1'000'000, 'x');
    bool open = socket.write(head + "12;");
    const auto begin = SteadyClock::now();
    while (open) {
        open = socket.write(block);
        sentBytes += open ? static_cast<long>(block.size()) : 0;
        const std::chrono::duration<double> due(static_cast<double>(sentBytes) / bytesPerSecond);
        std::this_thread::sleep_until(begin + std::chrono::duration_cast<SteadyClock::duration>(due));
    }
    say("the connection of the endless answer has ended after %ld MB", sentBytes / 1'000'000);
    return false;
}

} // namespace

int main(int, char **argv)
{
    const Place place = Place::find(argv);
    Store store("127.0.0.1");
    store.put("keyed.op", "config",
              configurationText(3,
                                routeText("spec-answer", "/spec/", "streaming", "band-model", 6000, 1800, 2, ",\"gap_target_ms\":200") + ","
                                    + routeText("dispatch-book", "/book/", "non_idempotent", "order-desk", 1500, 150, 1),
                                serviceText("band-model") + "," + serviceText("order-desk", 96)));
    Engine model(store, "i-model-1", "band-model", "peliyagoda", draft);
    Engine desk1(store, "i-desk-1", "order-desk", "peliyagoda", book);
    Engine desk2(store, "i-desk-2", "order-desk", "ja-ela", book);
    Daemon daemon(place, "edge-1", "127.81.0.1", "peliyagoda", "\"peliyagoda\":\"western-lk\",\"ja-ela\":\"western-lk\"", store.address());
    if (!daemon.waitReady()) {
        giveUp("the daemon is not ready");
    }
    sleepFor(4000); // The machine is in touch.

    // The platform: a process that exceeds its memory is killed.
    std::atomic<bool> over{false};
    std::atomic<bool> killed{false};
    std::atomic<std::size_t> peak{0};
    std::thread platform([&] {
        while (!over) {
            const std::size_t now = daemon.residentMb();
            peak = std::max(peak.load(), now);
            if (now > static_cast<std::size_t>(Daemon::memoryMb) && !killed.exchange(true)) {
                say("the daemon holds %zu MB, more than its %d MB: killed, as the platform does", now, Daemon::memoryMb);
                daemon.kill(SIGKILL);
            }
            sleepFor(5);
        }
    });

    std::atomic<int> cut{0};
    std::atomic<int> answered{0};
    std::atomic<int> otherwise{0};
    std::vector<std::thread> threads;
    for (int caller = 0; caller < callers; ++caller) {
        threads.emplace_back([&, caller] {
            Socket socket = Socket::connect(daemon.ip(), daemon.port());
            socket.setTimeout(3000);
            for (int n = 0; n < 12; ++n) {
                const std::string id = "b" + std::to_string(caller) + "-" + std::to_string(n);
                Message answer;
                note("caller %d sends %s", caller, id.c_str());
                if (!socket.write(requestText("POST", n == 0 ? "/book/first" : "/book/slow", id, 1500, "booking " + id))) {
                    return;
                }
                const ReadEnd end = readMessage(socket, answer, true);
                note("caller %d: %s %s %d %s", caller, id.c_str(), endName(end), answer.status(), answer.body.substr(0, 60).c_str());
                if (end == ReadEnd::Complete) {
                    (answer.status() == 200 ? answered : otherwise)++;
                } else {
                    ++cut;
                    return;
                }
            }
        });
    }
    sleepFor(1500);
    Socket reader = Socket::connect(daemon.ip(), daemon.port());
    reader.setTimeout(9000);
    note("the caller of the model sends s-1");
    reader.write(requestText("POST", "/spec/a", "s-1", 6000, "spec", "X-Guavalock-Model-Id: m\r\nX-Guavalock-Token-Usage: 100,24\r\n"));
    Message answer;
    const ReadEnd end = readMessage(reader, answer, true);
    say("s-1: %s %d", endName(end), answer.status());
    for (std::thread &it : threads) {
        it.join();
    }
    over = true;
    platform.join();
    say("peak memory %zu MB of %d MB; bookings answered %d, otherwise %d, cut without an answer %d", peak.load(), Daemon::memoryMb,
        answered.load(), otherwise.load(), cut.load());
    if (answered == 0) {
        giveUp("not all requests were answered");
    }
    finish(cut > 3, "LOST");
}
