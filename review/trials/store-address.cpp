// The address of the platform's store changes in the settings files, and the daemons get SIGHUP. A key that a later configuration
// withdraws has to be refused.
#include "Scene.h"

using namespace Rig;

int main(int count, char **arguments)
{
    const std::string folder = prepare(count, arguments);
    const std::string ip = "127.0.0.1";
    Log log;
    const auto serve = [&log](Stream &stream, Message &request) {
        return log.handle(stream, request);
    };
    Server before(ip, freePort(ip), serve);
    Server after(ip, freePort(ip), serve);
    before.listen();
    after.listen();
    PlainEngine desk("desk-1", ip, Ms(20), "");
    Registration registration(log, "desk-1", "desk", desk.address(), "z1", 6);
    const std::vector<Route> routes{{"book", "/book/", "non_idempotent", "desk"}};
    log.append("keyed.op", "config", configuration(1, routes, {"desk"}, {"k1", "k2"}));

    Daemon first({"edge-1", "127.0.0.1", "z1"}, before.text(), {}, folder);
    Daemon second({"edge-2", "127.0.0.2", "z2"}, before.text(), {}, folder);
    const std::vector<Daemon *> daemons{&first, &second};
    for (Daemon *it : daemons) {
        it->start();
    }
    for (Daemon *it : daemons) {
        it->waitUntilReady();
    }
    record.line("both daemons are ready; the store is at " + before.text());

    int number = 0;
    const auto book = [&](Daemon &daemon, const std::string &key) {
        Request request;
        request.path = "/book/" + std::to_string(++number);
        request.id = key + "-" + std::to_string(number);
        request.key = key;
        request.body = "booking";
        const double at = seconds();
        const auto stream = connect(daemon.place().ip, daemon.callers());
        const Message answer = stream->isOpen() ? exchange(*stream, request) : Message();
        record.line(daemon.place().name + " answers " + request.id + ", sent at " + std::to_string(at) + ", with " + answer.first);
        return std::pair(request.id, answer.status());
    };
    for (Daemon *it : daemons) {
        if (book(*it, "k1").second != 200 || book(*it, "k2").second != 200) {
            Daemon::endAll();
            cannotRun("a booking fails before the change");
        }
    }

    pause(Ms(3'000));
    if (trouble()) {
        for (Daemon *it : daemons) {
            it->setStoreAddress(after.text());
            it->writeSettings();
            it->signal(SIGHUP);
        }
        record.line("the settings files name the store at " + after.text() + "; SIGHUP sent");
    }
    pause(Ms(2'000));
    if (trouble()) {
        before.crash();
        record.line("the store no longer listens at " + before.text() + "; it serves the same records at " + after.text());
    }
    pause(Ms(10'000));
    log.append("keyed.op", "config", configuration(2, routes, {"desk"}, {"k1"}));
    record.line("version 2 is acknowledged; it withdraws k2");
    // config_apply_ms (2 s), max_skew_ms (5 s) and contact_ms (3 s) have passed.
    pause(Ms(10'000));
    record.line("10 s after the acknowledgement");
    int late = 0;
    int served = 0;
    for (int it = 0; it < 5; ++it) {
        for (Daemon *daemon : daemons) {
            const auto [id, status] = book(*daemon, "k2");
            late += desk.hasRun(id) ? 1 : 0;
            served += book(*daemon, "k1").second == 200 ? 1 : 0;
        }
        pause(Ms(500));
    }
    record.verdict("with the withdrawn key k2, " + std::to_string(late) + " of 10 bookings ran; with k1, " + std::to_string(served)
                   + " of 10 were answered with 200");
    const bool broken = late > 0;
    record.verdict(broken ? "CONFIG is broken" : "CONFIG held");
    finish(broken, folder);
}
