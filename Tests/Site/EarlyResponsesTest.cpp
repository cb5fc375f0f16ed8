#include "EarlyResponder.h"
#include "FakeAddress.h"
#include "SiteFleet.h"

#include <cppunit/extensions/HelperMacros.h>

namespace Guavalock
{

/// Tests site daemons against targets that respond during the upload, and against status codes that no response can have.
class EarlyResponsesTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EarlyResponsesTest);
    CPPUNIT_TEST(responsesThatAreResetDuringTheUploadDoNotLookWhole);
    CPPUNIT_TEST(responsesThatEndWithTheirConnectionArriveWhole);
    CPPUNIT_TEST(responsesWithALengthArriveWhole);
    CPPUNIT_TEST(refusalsDuringTheUploadAreRefusals);
    CPPUNIT_TEST(impossibleStatusCodesAreNotPassedOn);
    CPPUNIT_TEST_SUITE_END();

    using Ending = EarlyResponder::Ending;

    static constexpr std::uint16_t port = 32'190;
    static constexpr std::size_t uploadBytes = 3'900'000;
    static constexpr const char *signature = "X-Guavalock-Server-Signature: early.1\r\n";
    static inline const std::string okLine = "HTTP/1.1 200 OK";

    static constexpr int smallBuffer = 4'096;
    static constexpr int usualBuffer = 65'536;

    struct Setup {
        EarlyResponder target;
        SiteFleet fleet{1};

        explicit Setup(int receiveBufferBytes = usualBuffer)
            : target(port, receiveBufferBytes)
        {
            fleet.start({"plain-1", "plain-2", "model-1", "model-2"});
            for (const std::string service : {"plain", "model"}) {
                fleet.store().put(
                    "keyed.servers", "early-" + service,
                    R"({"service":")" + service + R"(","address":")" + FakeAddress::text() + ":" + std::to_string(port)
                        + R"(","zone":"north","state":"ready","version":"v1","capacity":64,"cold_remaining_ms":0,"sequence":1})");
            }
            target.setResponse(okLine, std::string(signature) + "Content-Length: 2\r\n", "ok", Ending::UploadFirst);
            for (const std::string path : {"/once/x", "/brisk-stream/x"}) {
                CPPUNIT_ASSERT(SiteFleet::waitFor([&] { return send(path, "b").status == 200; }));
            }
        }

        SiteFleet::Response send(const std::string &path, const std::string &body)
        {
            static int number = 0;
            SiteFleet::Request request = SiteFleet::makeRequest(path, "early-" + std::to_string(++number));
            request.body = body;
            return fleet.send(0, request);
        }

        SiteFleet::Response upload(const std::string &path)
        {
            return send(path, std::string(uploadBytes, 'u'));
        }
    };

    static std::string body(const std::string &path)
    {
        std::string text;
        while (text.size() < 900) {
            text += path.find("stream") == std::string::npos ? "data" : "id: " + std::to_string(text.size() + 1) + "\ndata: x\n\n";
        }
        return text;
    }

    static std::string headers(const std::string &path)
    {
        return std::string(signature) + (path.find("stream") == std::string::npos ? "" : "Content-Type: text/event-stream\r\n");
    }

    static const std::vector<std::string> &paths()
    {
        static const std::vector<std::string> list{"/once/x", "/safe/x", "/brisk-stream/x"};
        return list;
    }

public:
    /// The error of a connection that was reset goes to the write in progress, and the reader sees a regular end of the response.
    void responsesThatAreResetDuringTheUploadDoNotLookWhole()
    {
        Setup setup(smallBuffer);
        for (const std::string &path : paths()) {
            setup.target.setResponse(okLine, headers(path), body(path), Ending::Reset);
            for (int it = 0; it < 3; ++it) {
                const SiteFleet::Response response = setup.upload(path);
                CPPUNIT_ASSERT_MESSAGE(path, response.status != 200 || !response.complete);
            }
        }
    }

    /// The check for a failed upload must not reject a response that ends with its connection in a regular way.
    void responsesThatEndWithTheirConnectionArriveWhole()
    {
        Setup setup;
        for (const std::string &path : paths()) {
            for (const Ending ending : {Ending::UploadFirst, Ending::ReadUpload, Ending::HalfClose}) {
                setup.target.setResponse(okLine, headers(path), body(path), ending);
                const SiteFleet::Response response = setup.upload(path);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(path, 200U, response.status);
                CPPUNIT_ASSERT(response.complete && response.isSigned);
                CPPUNIT_ASSERT_EQUAL(body(path), response.body);
            }
        }
    }

    /// A response with a length is whole whatever becomes of the upload.
    void responsesWithALengthArriveWhole()
    {
        Setup setup;
        for (const Ending ending : {Ending::Reset, Ending::ReadUpload, Ending::UploadFirst}) {
            setup.target.setResponse(okLine, headers("") + "Content-Length: 5\r\n", "whole", ending);
            const SiteFleet::Response response = setup.upload("/once/x");
            CPPUNIT_ASSERT(response.status == 200 && response.complete && response.isSigned);
            CPPUNIT_ASSERT_EQUAL(std::string("whole"), response.body);
        }
    }

    /// A target that rejects a long upload at once must not make its outcome look unknown.
    void refusalsDuringTheUploadAreRefusals()
    {
        Setup setup(smallBuffer);
        setup.target.setResponse("HTTP/1.1 503 Service Unavailable", "X-Guavalock-Not-Executed: 1\r\nContent-Length: 2\r\n", "{}",
                                 Ending::Reset);
        CPPUNIT_ASSERT_EQUAL(503U, setup.upload("/once/x").status);
    }

    /// A target in trouble may send any three digits as status code. Clients must not get them as the status of a response.
    void impossibleStatusCodesAreNotPassedOn()
    {
        Setup setup;
        for (const std::string code : {"000", "001", "099", "100", "103", "199", "600", "999", "1000", "0200", "-20"}) {
            for (const std::string &path : paths()) {
                setup.target.setResponse("HTTP/1.1 " + code + " Odd", headers(path) + "Content-Length: 3\r\n", "odd", Ending::UploadFirst);
                const SiteFleet::Response response = setup.send(path, "b");
                CPPUNIT_ASSERT_MESSAGE(code + ' ' + path, response.status == 502 || response.status == 504);
                CPPUNIT_ASSERT(response.complete && !response.isSigned);
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EarlyResponsesTest);

} // namespace Guavalock
