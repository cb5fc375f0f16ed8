#include "Daemon/Daemon.h"
#include "Deployment.h"
#include "LoadGenerator.h"
#include "Pipeline/DaemonContext.h"
#include "Tables/RequestTable.h"
#include "Tool/AdministrationClient.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <thread>

namespace Guavalock
{

using std::chrono::milliseconds;

class BadInputTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(BadInputTest);
    CPPUNIT_TEST(invalidRequestsAreRefusedWithResultCode);
    CPPUNIT_TEST(slowRequestsAreRefused);
    CPPUNIT_TEST(halfClosedConnectionsGetResponses);
    CPPUNIT_TEST(incompleteRequestsDoNotBlockOthers);
    CPPUNIT_TEST(administrationErrorsHaveResultCodes);
    CPPUNIT_TEST(concurrentConfigurationChangesConflict);
    CPPUNIT_TEST_SUITE_END();

    static Deployment::Shape smallLimits()
    {
        Deployment::Shape it;
        it.adjust = [](ProcessSettings &settings) {
            settings.limits.headerBytes = 2'048;
            settings.limits.bodyBytes = 4'096;
            settings.limits.receiveTimeout = milliseconds(300);
        };
        return it;
    }

    /// Sends bytes, optionally shuts down the sending side, and returns everything received until the connection closes.
    static std::string exchange(const Endpoint &daemon, const std::string &bytes, bool halfClose)
    {
        boost::asio::io_context context;
        boost::asio::ip::tcp::socket socket(context);
        socket.connect({boost::asio::ip::make_address(daemon.address), daemon.port});
        boost::system::error_code ec;
        boost::asio::write(socket, boost::asio::buffer(bytes), ec);
        if (halfClose) {
            socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ec);
        }
        std::string response;
        boost::asio::read(socket, boost::asio::dynamic_buffer(response), ec);
        return response;
    }

    static std::string post(const std::string &path, const std::string &headers, const std::string &body)
    {
        return "POST " + path + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n" + headers + "Content-Length: " + std::to_string(body.size())
            + "\r\n\r\n" + body;
    }

    static void expectCode(const std::string &response, unsigned code, const std::string &what)
    {
        const std::string expectedField = "\"code\":" + std::to_string(code) + ",";
        CPPUNIT_ASSERT_MESSAGE(what + ": " + response, response.find(expectedField) != std::string::npos);
        CPPUNIT_ASSERT_MESSAGE(what + ": " + response, response.find("\"run\":\"no\"") != std::string::npos);
    }

public:
    void invalidRequestsAreRefusedWithResultCode()
    {
        struct Case {
            const char *what;
            std::string bytes;
            unsigned code;
        };
        const std::string organisationHeader = "X-Organisation: mill\r\n";
        const std::string validBody = R"({"input":"x"})";
        const std::array cases = {
            Case{"not HTTP", "hello there\r\n\r\n", 101},
            Case{"not JSON", post("/v1/desk/quote", organisationHeader, "{"), 101},
            Case{"not an object", post("/v1/desk/quote", organisationHeader, "[1]"), 101},
            Case{"deep nesting", post("/v1/desk/quote", organisationHeader, std::string(2'000, '[')), 101},
            Case{"missing field", post("/v1/desk/quote", organisationHeader, "{}"), 101},
            Case{"oversize header", post("/v1/desk/quote", "X-Long: " + std::string(4'000, 'a') + "\r\n", validBody), 102},
            Case{"oversize body", post("/v1/desk/quote", organisationHeader, std::string(8'000, 'a')), 103},
            Case{"unknown team", post("/v1/nobody/quote", organisationHeader, validBody), 105},
            Case{"unknown pipeline", post("/v1/desk/nothing", organisationHeader, validBody), 105},
            Case{"zero deadline", post("/v1/desk/quote", organisationHeader + "X-Deadline-Ms: 0\r\n", validBody), 106},
            Case{"deadline out of range", post("/v1/desk/quote", organisationHeader + "X-Deadline-Ms: 99999999999999999999\r\n", validBody),
                 106},
            Case{"non-numeric deadline", post("/v1/desk/quote", organisationHeader + "X-Deadline-Ms: soon\r\n", validBody), 106},
            Case{"unknown class", post("/v1/desk/quote", organisationHeader + "X-Class: first\r\n", validBody), 107},
            Case{"missing organisation", post("/v1/desk/quote", "", validBody), 108},
            Case{"unknown organisation", post("/v1/desk/quote", "X-Organisation: nobody\r\n", validBody), 108},
            Case{"method not allowed", "GET /v1/desk/quote HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", 109},
            Case{"missing idempotency key", post("/v1/desk/book", organisationHeader, validBody), 111},
            Case{"missing time of issue", post("/v1/desk/book", organisationHeader + "Idempotency-Key: k\r\n", validBody), 111},
            Case{"idempotency key too long",
                 post("/v1/desk/book", organisationHeader + "Idempotency-Issued: 1\r\nIdempotency-Key: " + std::string(200, 'k') + "\r\n",
                      validBody),
                 111},
            Case{"unknown path", post("/v2/desk/quote", organisationHeader, validBody), 112},
        };
        Deployment deployment(smallLimits());
        deployment.start();
        for (const Case &it : cases) {
            expectCode(exchange(deployment.callers().front(), it.bytes, false), it.code, it.what);
        }
    }

    void slowRequestsAreRefused()
    {
        Deployment deployment(smallLimits());
        deployment.start();
        const std::string incomplete = post("/v1/desk/quote", "X-Organisation: mill\r\n", R"({"input":"x"})").substr(0, 60);
        expectCode(exchange(deployment.callers().front(), incomplete, false), 104, "slow request");
    }

    void halfClosedConnectionsGetResponses()
    {
        Deployment deployment(smallLimits());
        deployment.start();
        const std::string incomplete = "POST /v1/desk/quote HTTP/1.1\r\nHost: x\r\nContent-Length: 500\r\n\r\n{";
        expectCode(exchange(deployment.callers().front(), incomplete, true), 101, "truncated body");
        const std::string complete = post("/v1/desk/quote", "X-Organisation: mill\r\n", R"({"input":"x"})");
        const std::string response = exchange(deployment.callers().front(), complete, true);
        CPPUNIT_ASSERT_MESSAGE(response,
                               response.find("\"code\":") != std::string::npos || response.find("\"text\":") != std::string::npos);
    }

    void incompleteRequestsDoNotBlockOthers()
    {
        Deployment deployment(smallLimits());
        deployment.start();
        boost::asio::io_context context;
        std::vector<boost::asio::ip::tcp::socket> sockets;
        const Endpoint daemon = deployment.callers().front();
        for (int it = 0; it < 200; ++it) {
            sockets.emplace_back(context);
            sockets.back().connect({boost::asio::ip::make_address(daemon.address), daemon.port});
            boost::asio::write(sockets.back(), boost::asio::buffer(std::string("POST /v1/desk/quote HTTP/1.1\r\n")));
        }
        const auto driver = deployment.load({.requests = 100});
        CPPUNIT_ASSERT_EQUAL(std::size_t(100), driver->tally().answered);
    }

    void administrationErrorsHaveResultCodes()
    {
        Deployment deployment({});
        deployment.start();
        const AdministrationClient client(deployment.administration(0));
        Reason reason;
        CPPUNIT_ASSERT(!client.get("nothing", reason) && reason.code == ResultCode::UnknownPath);
        CPPUNIT_ASSERT(!client.put("status", "", {}, reason) && reason.code == ResultCode::MethodNotAllowed);
        CPPUNIT_ASSERT(!client.get("reports/weather", reason) && reason.code == ResultCode::UnknownPath);
        CPPUNIT_ASSERT(!client.put("configuration/teams/desk", "x: 1", {}, reason) && reason.code == ResultCode::PathInvalid);
        CPPUNIT_ASSERT(!client.put("configuration/organisations/new", "weight: -1", {}, reason)
                       && reason.code == ResultCode::SettingsInvalid);
    }

    void concurrentConfigurationChangesConflict()
    {
        Deployment deployment({.centres = {"north", "south"}});
        deployment.start();
        std::array<std::optional<boost::json::value>, 2> responses;
        std::array<Reason, 2> reasons;
        std::array<std::thread, 2> operators;
        for (std::size_t it = 0; it < operators.size(); ++it) {
            operators[it] = std::thread([&, it] {
                const AdministrationClient client(deployment.administration(it));
                responses[it] = client.put("configuration/organisations/new", "weight: " + std::to_string(it + 1),
                                           {{"X-Expected-Version", "0"}}, reasons[it]);
            });
        }
        for (std::thread &it : operators) {
            it.join();
        }
        CPPUNIT_ASSERT(responses[0].has_value() != responses[1].has_value());
        const std::size_t rejected = responses[0] ? 1 : 0;
        CPPUNIT_ASSERT(reasons[rejected].code == ResultCode::VersionConflict);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BadInputTest);

} // namespace Guavalock
