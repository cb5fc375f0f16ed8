// One of eight engines fails part of its requests: it runs them and answers 503 without X-Guavalock-Not-Executed. Callers must not be
// told that such a request has not run.
#include "Scene.h"

using namespace Rig;

namespace
{

constexpr int engineCount = 8;
constexpr int callerCount = 16;
constexpr Ms faultTime{6'500};
constexpr Ms serviceTime{100};
constexpr unsigned failuresOfTwenty = 9; ///< Part of the faulty engine's requests that fail.

std::mutex mutex;
std::map<std::string, int> runs; ///< By id.
std::map<std::string, int> bookings; ///< By the booking that several attempts of a client are about.
std::atomic<bool> faulty{false};
std::atomic<int> untrue{0};

class Desk
{
public:
    Desk(Log &log, std::string id, const std::string &ip, bool mayFail)
        : m_id(std::move(id))
        , m_mayFail(mayFail)
        , m_server(ip, freePort(ip), [this](Stream &stream, Message &request) { return serve(stream, request); })
    {
        m_server.listen();
        m_registration = std::make_unique<Registration>(log, m_id, "desk", m_server.text(), "z1", 6);
    }

private:
    bool serve(Stream &stream, Message &request)
    {
        if (expectsAnother(request, m_id)) {
            return misdirected(stream, request, m_id);
        }
        const std::string id = request.header("X-Guavalock-Attempt-Id");
        {
            const std::scoped_lock lock(mutex);
            ++runs[id];
            ++bookings[request.body];
        }
        pause(serviceTime);
        const bool fails = m_mayFail && faulty && m_number++ * failuresOfTwenty % 20 < failuresOfTwenty;
        record.line(m_id + " runs " + id + " and answers " + (fails ? "503" : "200"));
        return stream.write(response(fails ? 503 : 200, signedHeaders(request, m_id), fails ? "failed while it ran" : "done"));
    }

    std::string m_id;
    bool m_mayFail;
    std::atomic<unsigned> m_number{0};
    Server m_server;
    std::unique_ptr<Registration> m_registration;
};

/// Books until the end. A booking is sent once more, with another id, after a promise that it has not run.
void book(Daemon &daemon, int caller, Clock::time_point end)
{
    for (int it = 0; Clock::now() < end; ++it) {
        const std::string booking = std::to_string(caller) + '.' + std::to_string(it);
        bool promises = true;
        for (int attempt = 0; attempt < 2 && promises; ++attempt) {
            Request request;
            request.path = "/book/" + booking;
            request.id = "book-" + booking + '-' + std::to_string(attempt);
            request.body = "booking " + booking;
            const auto stream = connect(daemon.place().ip, daemon.callers());
            const Message answer = exchange(*stream, request);
            record.line(request.id + " got " + answer.first);
            const int status = answer.status();
            promises = status == 503 || status == 429 || status == 408 || status == 421;
            const std::scoped_lock lock(mutex);
            untrue += promises && runs[request.id] > 0 ? 1 : 0;
        }
        pause(Ms(100));
    }
}

} // namespace

int main(int count, char **arguments)
{
    const std::string folder = prepare(count, arguments);
    const std::string ip = "127.0.0.1";
    Log log;
    Server platform(ip, freePort(ip), [&log](Stream &stream, Message &request) { return log.handle(stream, request); });
    platform.listen();
    std::vector<std::unique_ptr<Desk>> desks;
    for (int it = 1; it <= engineCount; ++it) {
        desks.push_back(std::make_unique<Desk>(log, "desk-" + std::to_string(it), ip, it == 1));
    }
    log.append("keyed.op", "config", configuration(1, {{"book", "/book/", "non_idempotent", "desk"}}, {"desk"}, {"k1"}));
    Daemon daemon({"edge-1", "127.0.0.1", "z1", 260}, platform.text(), {}, folder);
    daemon.start();
    daemon.waitUntilReady();
    pause(Ms(3'500));
    const Clock::time_point end = Clock::now() + Ms(2'000) + faultTime;
    std::vector<std::thread> callers;
    for (int it = 0; it < callerCount; ++it) {
        callers.emplace_back([&daemon, it, end] { book(daemon, it, end); });
    }
    pause(Ms(1'000));
    faulty = trouble();
    pause(faultTime);
    faulty = false;
    for (std::thread &it : callers) {
        it.join();
    }
    const std::scoped_lock lock(mutex);
    const auto twice = std::ranges::count_if(bookings, [](const auto &it) { return it.second > 1; });
    record.verdict(std::to_string(untrue) + " promises (503) for requests that ran; " + std::to_string(twice) + " of "
                   + std::to_string(bookings.size()) + " bookings made twice");
    record.verdict(untrue > 0 ? "REFUSED is broken" : "REFUSED held");
    finish(untrue > 0, folder);
}
