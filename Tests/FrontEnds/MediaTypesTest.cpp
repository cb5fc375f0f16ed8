#include "Deployment.h"

#include <cppunit/extensions/HelperMacros.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

namespace Guavalock
{

namespace Asio = boost::asio;

/// Tests which form of response the product's own interface chooses.
class MediaTypesTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(MediaTypesTest);
    CPPUNIT_TEST(eventStreamsAreSentInAnyCaseOfTheirMediaType);
    CPPUNIT_TEST_SUITE_END();

    static std::string responseTo(const Endpoint &daemon, const std::string &accept)
    {
        Asio::io_context context;
        Asio::ip::tcp::socket socket(context);
        socket.connect({Asio::ip::make_address(daemon.address), daemon.port});
        const std::string body = R"({"input":"x"})";
        Asio::write(socket,
                    Asio::buffer("POST /v1/desk/quote HTTP/1.1\r\nHost: x\r\nConnection: close\r\nX-Organisation: mill\r\nAccept: " + accept
                                 + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body));
        std::string response;
        boost::system::error_code ec;
        Asio::read(socket, Asio::dynamic_buffer(response), ec);
        return response;
    }

public:
    /// Guards against clients that ask for a stream and get the whole response at its end: media types are case-insensitive (RFC 9110,
    /// section 8.3.1).
    void eventStreamsAreSentInAnyCaseOfTheirMediaType()
    {
        Deployment deployment({});
        deployment.start();
        for (const std::string accept : {"text/event-stream", "Text/Event-Stream", "application/json, TEXT/EVENT-STREAM;q=0.9"}) {
            const std::string response = responseTo(deployment.callers().front(), accept);
            CPPUNIT_ASSERT_MESSAGE(accept + ": " + response, response.find("Content-Type: text/event-stream") != std::string::npos);
        }
        const std::string response = responseTo(deployment.callers().front(), "application/json");
        CPPUNIT_ASSERT_MESSAGE(response, response.find("Content-Type: application/json") != std::string::npos);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MediaTypesTest);

} // namespace Guavalock
