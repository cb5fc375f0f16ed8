#pragma once

#include "FakeFleetTarget.h"
#include "FakeRecordStore.h"
#include "Kernel/WorkerPool.h"
#include "Site/Site.h"
#include "Site/SiteDaemon.h"

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace Guavalock
{

/// Site daemons and stand-ins in one process, on loopback ports of their own.
class SiteFleet
{
public:
    struct Answer {
        unsigned status = 0; ///< Zero when the connection ended first.
        std::string body;
        bool whole = false; ///< The answer was complete as HTTP has it.
        std::string retryAfter;
        bool isSigned = false;
    };

    struct Ask {
        std::string method = "POST";
        std::string path;
        std::string body;
        std::string id;
        std::string key = "k1";
        std::vector<std::pair<std::string, std::string>> headers;
    };

    explicit SiteFleet(std::size_t daemons);
    ~SiteFleet();

    /// Writes configuration and targets, starts everything and returns when all daemons are ready.
    void start();

    /// Writes the configuration with a version and the keys of the one organisation.
    void configure(std::uint64_t version, const std::string &keys);

    void writeTarget(const std::string &name, const std::string &state);
    void dropTarget(const std::string &name);

    Answer ask(std::size_t daemon, const Ask &ask) const;

    /// Sends a request and closes the connection after a time, without reading.
    static void leave(std::size_t daemon, const Ask &ask, std::chrono::milliseconds after);

    /// Waits until a condition holds; returns false when it does not within some seconds.
    static bool await(const std::function<bool()> &holds);

    FakeRecordStore &store();
    FakeFleetTarget &target(const std::string &name);
    SiteDaemon &daemon(std::size_t index);

    void startDaemon(std::size_t index);
    void killDaemon(std::size_t index);
    bool ready(std::size_t index) const;

private:
    using Request = boost::beast::http::request<boost::beast::http::string_body>;

    static Request request(const Ask &ask);

    struct Place {
        std::string service;
        std::uint16_t port = 0;
        std::string dataCentre;
    };

    SiteSettings settings(std::size_t index) const;
    static Answer call(std::uint16_t port, const Ask &ask);

    std::size_t m_count;
    std::unique_ptr<Site> m_site;
    WorkerPool m_pool;
    std::unique_ptr<FakeRecordStore> m_store;
    std::map<std::string, Place> m_places;
    std::map<std::string, std::unique_ptr<FakeFleetTarget>> m_targets;
    std::vector<std::unique_ptr<SiteDaemon>> m_daemons;
};

} // namespace Guavalock
