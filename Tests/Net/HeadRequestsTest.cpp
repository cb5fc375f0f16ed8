#include "Deployment.h"
#include "SiteFleet.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace Guavalock
{

namespace Asio = boost::asio;

/// Tests servers with requests whose responses have no body.
class HeadRequestsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(HeadRequestsTest);
    CPPUNIT_TEST(responsesToHeadRequestsEndWithTheirHead);
    CPPUNIT_TEST(refusalsOfHeadRequestsEndWithTheirHead);
    CPPUNIT_TEST(noServerSendsABodyToAHeadRequest);
    CPPUNIT_TEST(responsesWithoutContentHaveNoLength);
    CPPUNIT_TEST_SUITE_END();

    /// A client's connection, on which requests are sent one after the other.
    class Client
    {
    public:
        explicit Client(const Endpoint &server)
            : m_socket(m_context)
        {
            m_socket.connect({Asio::ip::make_address(server.address), server.port});
        }

        /// Sends a request and returns all that is received within half a second.
        std::string exchange(const std::string &method, const std::string &path, const std::string &fields)
        {
            boost::system::error_code ec;
            Asio::write(m_socket, Asio::buffer(method + ' ' + path + " HTTP/1.1\r\nHost: h\r\n" + fields + "\r\n"), ec);
            std::string received;
            Asio::async_read(m_socket, Asio::dynamic_buffer(received), [](const boost::system::error_code &, std::size_t) {});
            m_context.restart();
            m_context.run_for(std::chrono::milliseconds(500));
            m_socket.cancel(ec);
            m_context.restart();
            m_context.run();
            return received;
        }

    private:
        Asio::io_context m_context;
        Asio::ip::tcp::socket m_socket;
    };

    static std::string makeFields(const std::string &id, const std::string &key = "k1")
    {
        return "X-Guavalock-Attempt-Id: " + id + "\r\nApi-Key: " + key + "\r\n";
    }

    static void assertHeadOnly(const std::string &what, const std::string &received, const std::string &status)
    {
        CPPUNIT_ASSERT_MESSAGE(what + ": " + received, received.starts_with("HTTP/1.1 " + status + ' '));
        CPPUNIT_ASSERT_MESSAGE(what + ": " + received, received.find("\r\n\r\n") == received.size() - 4);
    }

public:
    /// review/3: the daemon waited for a body, answered 504 with one, and the next request on the connection got it for an answer.
    void responsesToHeadRequestsEndWithTheirHead()
    {
        SiteFleet fleet(1);
        fleet.start();
        for (const std::string path : {"/safe/x", "/brisk-stream/x"}) {
            Client client(fleet.callers(0));
            assertHeadOnly(path, client.exchange("HEAD", path, makeFields("head" + path)), "200");
            const std::string received = client.exchange("GET", "/safe/y", makeFields("get" + path));
            CPPUNIT_ASSERT_MESSAGE(received, received.starts_with("HTTP/1.1 200 ") && received.ends_with("get" + path + ":"));
        }
    }

    void refusalsOfHeadRequestsEndWithTheirHead()
    {
        SiteFleet fleet(1);
        fleet.start();
        Client client(fleet.callers(0));
        assertHeadOnly("unknown key", client.exchange("HEAD", "/safe/x", makeFields("a", "nobody")), "401");
        assertHeadOnly("unknown path", client.exchange("HEAD", "/nowhere/x", makeFields("b")), "404");
        const std::string received = client.exchange("GET", "/safe/y", makeFields("c"));
        CPPUNIT_ASSERT_MESSAGE(received, received.starts_with("HTTP/1.1 200 ") && received.ends_with("c:"));
    }

    void noServerSendsABodyToAHeadRequest()
    {
        SiteFleet fleet(1);
        fleet.start();
        Deployment deployment({});
        deployment.start();
        assertHeadOnly("readiness", Client(fleet.readiness(0)).exchange("HEAD", "/readyz", {}), "200");
        assertHeadOnly("metrics", Client(fleet.metrics(0)).exchange("HEAD", "/metrics", {}), "200");
        assertHeadOnly("health", Client(deployment.callers().front()).exchange("HEAD", "/health", {}), "200");
        assertHeadOnly("refusal", Client(deployment.callers().front()).exchange("HEAD", "/v1/desk/quote", {}), "405");
    }

    void responsesWithoutContentHaveNoLength()
    {
        SiteFleet fleet(1);
        fleet.start();
        for (const std::string name : {"plain-1", "plain-2"}) {
            fleet.target(name).setFault(FakeFleetTarget::Fault::NoContentInstead, 10);
        }
        Client client(fleet.callers(0));
        const std::string received = client.exchange("POST", "/safe/x", makeFields("d") + "Content-Length: 0\r\n");
        assertHeadOnly("no content", received, "204");
        CPPUNIT_ASSERT_MESSAGE(received, received.find("Content-Length") == std::string::npos);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HeadRequestsTest);

} // namespace Guavalock
