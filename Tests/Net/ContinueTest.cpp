#include "SiteFleet.h"

#include <cppunit/extensions/HelperMacros.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

namespace Guavalock
{

namespace Asio = boost::asio;

/// Tests responses to clients that send a body only after an interim response.
class ContinueTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ContinueTest);
    CPPUNIT_TEST(clientsThatExpectAnInterimResponseGetOne);
    CPPUNIT_TEST_SUITE_END();

    /// Returns the status line of the next response, or an empty string if the connection ends before it is complete.
    static std::string readStatusLine(Asio::ip::tcp::socket &socket)
    {
        std::string head;
        boost::system::error_code ec;
        Asio::read_until(socket, Asio::dynamic_buffer(head), "\r\n\r\n", ec);
        return ec ? std::string() : head.substr(0, head.find("\r\n"));
    }

public:
    /// Guards against clients that wait for their body to be asked for until the daemon gives up: expectations are case-insensitive
    /// (RFC 9110, section 10.1.1).
    void clientsThatExpectAnInterimResponseGetOne()
    {
        SiteFleet fleet(1);
        fleet.start();
        for (const std::string expectation : {"100-continue", "100-Continue", "100-CONTINUE"}) {
            Asio::io_context context;
            Asio::ip::tcp::socket socket(context);
            socket.connect({Asio::ip::make_address(fleet.callers(0).address), fleet.callers(0).port});
            Asio::write(socket,
                        Asio::buffer("POST /safe/x HTTP/1.1\r\nHost: h\r\nX-Guavalock-Attempt-Id: " + expectation
                                     + "\r\nApi-Key: k1\r\nContent-Length: 4\r\nExpect: " + expectation + "\r\n\r\n"));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(expectation, std::string("HTTP/1.1 100 Continue"), readStatusLine(socket));
            Asio::write(socket, Asio::buffer("body", 4));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(expectation, std::string("HTTP/1.1 200 OK"), readStatusLine(socket));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ContinueTest);

} // namespace Guavalock
