#include "Deployment.h"
#include "FakeAddress.h"
#include "SiteFleet.h"

#include "Net/MessageFraming.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace Guavalock
{

namespace Asio = boost::asio;

/// Tests servers with requests whose length cannot be relied on.
class MessageFramingTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(MessageFramingTest);
    CPPUNIT_TEST(requestsWithinTheBodyOfAnotherDoNotRun);
    CPPUNIT_TEST(requestsWithAReliableLengthRun);
    CPPUNIT_TEST(noServerAnswersWhatFollowsAnUnreliableLength);
    CPPUNIT_TEST(onlyFinalStatusCodesMakeAResponse);
    CPPUNIT_TEST_SUITE_END();

    struct Framing {
        std::string version;
        std::string fields;
        std::string body; ///< Empty for the text of another request.
    };

    static const std::vector<Framing> &unreliable()
    {
        static const std::vector<Framing> table{{"1.1", "Transfer-Encoding: gzip\r\n", {}},
                                                {"1.1", "Transfer-Encoding: chunked, identity\r\n", {}},
                                                {"1.1", "Transfer-Encoding: identity\r\n", {}},
                                                {"1.1", "Transfer-Encoding: xchunked\r\n", {}},
                                                {"1.1", "Transfer-Encoding: \r\n", {}},
                                                {"1.1", "Transfer-Encoding: gzip\r\nTransfer-Encoding: identity\r\n", {}},
                                                {"1.1", "Transfer-Encoding: gzip, chunked\r\n", "0\r\n\r\n"},
                                                {"1.1", "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n", "0\r\n\r\n"},
                                                {"1.1", "Content-Length: 0\r\nTransfer-Encoding: gzip\r\n", {}},
                                                {"1.0", "Connection: keep-alive\r\nTransfer-Encoding: chunked\r\n", "0\r\n\r\n"},
                                                {"1.1", "Content-Length: 0\r\nContent-Length: 0\r\n", {}},
                                                {"1.1", "Content-Length: 0, 0\r\n", {}},
                                                {"1.1", "Content-Length: +0\r\n", {}},
                                                {"1.1", "Content-Length: 0x0\r\n", {}},
                                                {"1.1", "Content-Length: -1\r\n", {}},
                                                {"1.1", "Content-Length : 0\r\n", {}}};
        return table;
    }

    static std::string makeRequest(const std::string &id, const Framing &framing, const std::string &body)
    {
        return "POST /once/x HTTP/" + framing.version + "\r\nHost: h\r\nX-Guavalock-Attempt-Id: " + id + "\r\nApi-Key: k1\r\n"
            + framing.fields + "\r\n" + body;
    }

    /// Sends bytes and returns all that is received until the server closes the connection, or for a second.
    static std::string exchange(const Endpoint &server, const std::string &bytes)
    {
        Asio::io_context context;
        Asio::ip::tcp::socket socket(context);
        socket.connect({Asio::ip::make_address(server.address), server.port});
        boost::system::error_code ec;
        Asio::write(socket, Asio::buffer(bytes), ec);
        std::string received;
        Asio::async_read(socket, Asio::dynamic_buffer(received), [](const boost::system::error_code &, std::size_t) {});
        context.run_for(std::chrono::seconds(1));
        return received;
    }

    static std::size_t responseCount(const std::string &received)
    {
        std::size_t n = 0;
        for (std::size_t at = received.find("HTTP/1.1 "); at != std::string::npos; at = received.find("HTTP/1.1 ", at + 1)) {
            ++n;
        }
        return n;
    }

public:
    /// review/2: the daemon took a request for one without a body, and ran the request in its body.
    void requestsWithinTheBodyOfAnotherDoNotRun()
    {
        SiteFleet fleet(1);
        fleet.start();
        int number = 0;
        for (const Framing &it : unreliable()) {
            const std::string outer = "outer" + std::to_string(++number);
            const std::string inner = "inner" + std::to_string(number);
            const std::string smuggled = makeRequest(inner, {"1.1", "Content-Length: 0\r\n", {}}, {});
            const std::string received = exchange(fleet.callers(0), makeRequest(outer, it, it.body + smuggled));
            CPPUNIT_ASSERT_MESSAGE(it.fields + received, received.starts_with("HTTP/1.1 400 "));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(it.fields + received, std::size_t(1), responseCount(received));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(it.fields, std::size_t(0), fleet.executionCount(outer));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(it.fields, std::size_t(0), fleet.executionCount(inner));
        }
    }

    /// What is proper must not be refused with the rest.
    void requestsWithAReliableLengthRun()
    {
        SiteFleet fleet(1);
        fleet.start();
        const std::vector<Framing> reliable{{"1.1", "Content-Length: 4\r\n", "body"},
                                            {"1.1", "Content-Length: 0\r\n", ""},
                                            {"1.1", "Content-Length:   4  \r\n", "body"},
                                            {"1.1", "content-length: 0004\r\n", "body"},
                                            {"1.0", "Content-Length: 4\r\n", "body"},
                                            {"1.1", "Transfer-Encoding: chunked\r\n", "4\r\nbody\r\n0\r\n\r\n"},
                                            {"1.1", "transfer-encoding:  Chunked \r\n", "4;a=b\r\nbody\r\n0\r\nX-Trailer: a\r\n\r\n"},
                                            {"1.1", "", ""}};
        int number = 0;
        for (const Framing &it : reliable) {
            const std::string id = "proper" + std::to_string(++number);
            const std::string received
                = exchange(fleet.callers(0), makeRequest(id, {it.version, it.fields + "Connection: close\r\n", {}}, it.body));
            CPPUNIT_ASSERT_MESSAGE(it.fields + received, received.starts_with("HTTP/1.1 200 "));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(it.fields, std::size_t(1), fleet.executionCount(id));
        }
    }

    void noServerAnswersWhatFollowsAnUnreliableLength()
    {
        SiteFleet fleet(1);
        fleet.start();
        Deployment deployment({});
        deployment.start();
        const std::vector<std::pair<Endpoint, std::string>> servers{{fleet.readiness(0), "/readyz"},
                                                                    {fleet.metrics(0), "/metrics"},
                                                                    {deployment.callers().front(), "/health"},
                                                                    {deployment.administration(0), "/admin/v1/status"}};
        for (const auto &[server, path] : servers) {
            for (const Framing &it : unreliable()) {
                const std::string smuggled = "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n";
                const std::string received
                    = exchange(server, "GET " + path + " HTTP/" + it.version + "\r\nHost: h\r\n" + it.fields + "\r\n" + it.body + smuggled);
                CPPUNIT_ASSERT_MESSAGE(path + ' ' + it.fields + received, responseCount(received) <= 1);
                CPPUNIT_ASSERT_MESSAGE(path + ' ' + it.fields + received, received.find(" 200 ") == std::string::npos);
            }
        }
    }

    /// All clients of the daemon use this check: towards targets, stage targets, the store and administrators' daemons.
    void onlyFinalStatusCodesMakeAResponse()
    {
        boost::beast::http::response_header<> head;
        head.version(11);
        for (const unsigned status : {0U, 1U, 99U, 100U, 103U, 199U, 600U, 999U}) {
            head.result(status);
            CPPUNIT_ASSERT_MESSAGE(std::to_string(status), MessageFraming::findResponseFault(head));
        }
        for (const unsigned status : {200U, 204U, 299U, 302U, 404U, 421U, 500U, 503U, 599U}) {
            head.result(status);
            CPPUNIT_ASSERT_MESSAGE(std::to_string(status), !MessageFraming::findResponseFault(head));
        }
        head.set(boost::beast::http::field::transfer_encoding, "gzip");
        CPPUNIT_ASSERT(MessageFraming::findResponseFault(head));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MessageFramingTest);

} // namespace Guavalock
