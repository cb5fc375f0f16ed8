// The operator withdraws the only tenant of a deployment. No request with its key, or with a key that never was, may run.
#include "Scene.h"

using namespace Rig;

int main(int count, char **arguments)
{
    const std::string folder = prepare(count, arguments);
    const std::string ip = "127.0.0.1";
    Log log;
    Server platform(ip, freePort(ip), [&log](Stream &stream, Message &request) { return log.handle(stream, request); });
    platform.listen();
    PlainEngine desk("desk-1", ip, Ms(20), "");
    Registration registration(log, "desk-1", "desk", desk.address(), "z1", 6);
    const std::vector<Route> routes{{"book", "/book/", "non_idempotent", "desk"}};
    log.append("keyed.op", "config", configuration(1, routes, {"desk"}, {"k1"}));
    Daemon daemon({"edge-1", "127.0.0.1", "z1"}, platform.text(), {}, folder);
    daemon.start();
    daemon.waitUntilReady();

    int number = 0;
    const auto book = [&](const std::string &key) {
        Request request;
        request.path = "/book/" + std::to_string(++number);
        request.id = key + "-" + std::to_string(number);
        request.key = key;
        request.body = "booking";
        const double at = seconds();
        const auto stream = connect(ip, daemon.callers());
        const Message answer = exchange(*stream, request);
        record.line(request.id + ", sent at " + std::to_string(at) + ", got " + answer.first);
        return std::pair(answer.status(), desk.hasRun(request.id));
    };
    pause(Ms(4'000));
    const auto [own, ownRan] = book("k1");
    const auto [unknown, unknownRan] = book("never");
    if (own != 200 || !ownRan || unknown != 401 || unknownRan) {
        Daemon::endAll();
        cannotRun("the keys are not checked before the change");
    }
    if (trouble()) {
        log.append("keyed.op", "config", configuration(2, routes, {"desk"}, {}));
        record.line("version 2 is acknowledged; it has no tenant");
    } else {
        log.append("keyed.op", "config", configuration(2, routes, {"desk"}, {"k1"}));
        record.line("version 2 is acknowledged; it has the same tenant");
    }
    // config_apply_ms is 2 s.
    pause(Ms(5'000));
    int withdrawn = 0;
    int never = 0;
    for (int it = 0; it < 10; ++it) {
        withdrawn += trouble() && book("k1").second ? 1 : 0;
        never += book("never").second ? 1 : 0;
        pause(Ms(100));
    }
    record.verdict("5 s after the acknowledgement, of 10 bookings each: " + std::to_string(withdrawn) + " with the withdrawn key and "
                   + std::to_string(never) + " with a key that no configuration ever held ran");
    const bool broken = withdrawn + never > 0;
    record.verdict(broken ? "ROUTE is broken" : "ROUTE held");
    finish(broken, folder);
}
