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
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace Guavalock
{

/// Runs site daemons, a fake record store and fake targets in one process, each on its own loopback port.
class SiteFleet
{
public:
    struct Response {
        unsigned status = 0; ///< Zero when the connection closed before the response header was complete.
        std::string body;
        bool complete = false; ///< A complete HTTP message was received.
        std::string retryAfter;
        bool isSigned = false;
        bool keepsConnection = false;
        std::string excess; ///< Bytes on the connection that are not part of the message.
    };

    struct Request {
        std::string method = "POST";
        std::string path;
        std::string body;
        std::string attemptId;
        std::string apiKey = "k1";
        std::vector<std::pair<std::string, std::string>> headers;
        std::chrono::milliseconds bodyDelay{0}; ///< Time between sending the headers and the body.
    };

    explicit SiteFleet(std::size_t daemonCount);
    ~SiteFleet();

    /// Sets the grace period of daemons that are started afterwards.
    void setGracePeriod(std::chrono::milliseconds gracePeriod);

    /// Publishes the configuration and target records, starts all servers and waits until every daemon is ready. Targets without a
    /// record are unknown to the daemons.
    void start(const std::set<std::string> &targetsWithoutRecord = {});

    /// Publishes a configuration with the given version and the API keys of its only organisation, as comma-separated JSON strings.
    void configure(std::uint64_t version, const std::string &keys);

    /// As above, with the given JSON value in place of the list of organisations, or without that field if the value is empty.
    void configureOrganisations(std::uint64_t version, const std::string &value);

    /// Publishes a configuration with further routes, as comma-separated JSON objects, and the API keys k1 and k2.
    void configureRoutes(std::uint64_t version, const std::string &routes);

    void writeTarget(const std::string &name, const std::string &state, const std::string &version = "v1");
    void removeTarget(const std::string &name);

    static Request makeRequest(const std::string &path, const std::string &id);

    Response send(std::size_t daemon, const Request &request) const;

    /// Sends bytes that need not be a valid request.
    Response sendBytes(std::size_t daemon, const std::string &bytes) const;

    /// Sends requests one after the other on one connection. Stops when a response is incomplete or announces the end of the connection.
    std::vector<Response> sendOnOneConnection(std::size_t daemon, const std::vector<Request> &requests) const;

    /// Sends a request and closes the connection after a delay without reading the response.
    static void sendAndDisconnect(std::size_t daemon, const Request &request, std::chrono::milliseconds delay);

    /// Polls a condition until it holds. Returns false if it does not hold within 10 s.
    static bool waitFor(const std::function<bool()> &condition);

    /// Returns how often the plain and model targets executed a request.
    std::size_t executionCount(const std::string &id) const;

    FakeRecordStore &store();
    FakeFleetTarget &target(const std::string &name);
    SiteDaemon &daemon(std::size_t index);

    void startDaemon(std::size_t index);
    void killDaemon(std::size_t index);
    bool isReady(std::size_t index) const;

    Endpoint callers(std::size_t index) const;
    Endpoint readiness(std::size_t index) const;
    Endpoint metrics(std::size_t index) const;

    /// Returns how many bytes endless responses of all targets sent, and how long the longest of them lasted.
    std::size_t endlessBytes() const;
    std::chrono::steady_clock::duration endlessDuration() const;

    /// Returns the value of a daemon's counter, or 0 if it was never incremented.
    std::size_t counter(std::size_t daemon, const std::string &name) const;

private:
    using HttpRequest = boost::beast::http::request<boost::beast::http::string_body>;

    static HttpRequest makeHttpRequest(const Request &request);

    /// Takes the further routes as they follow the list of routes, and the organisations as configureOrganisations() does.
    void writeConfiguration(std::uint64_t version, const std::string &routes, const std::string &organisations);

    struct TargetLocation {
        std::string service;
        std::uint16_t port = 0;
        std::string dataCentre;
    };

    SiteSettings settings(std::size_t index) const;
    static Response exchange(std::uint16_t port, const Request &request);
    static Response readResponse(boost::asio::ip::tcp::socket &socket);

    std::size_t m_daemonCount;
    std::chrono::milliseconds m_gracePeriod{4'000};
    std::unique_ptr<Site> m_site;
    WorkerPool m_pool;
    std::unique_ptr<FakeRecordStore> m_store;
    std::map<std::string, TargetLocation> m_targetLocations;
    std::map<std::string, std::unique_ptr<FakeFleetTarget>> m_targets;
    std::uint64_t m_lastSequence = 0; ///< Of target records.
    std::vector<std::unique_ptr<SiteDaemon>> m_daemons;
};

} // namespace Guavalock
