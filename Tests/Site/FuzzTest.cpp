#include "Batching/StageCodec.h"
#include "Fleet/Catalogue.h"
#include "Fleet/RecordCodec.h"
#include "Kernel/Registry.h"
#include "Relay/EventSplitter.h"
#include "Relay/RelayCodec.h"
#include "Site/Site.h"

#include <boost/beast/http/fields.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <random>

namespace Guavalock
{

namespace Http = boost::beast::http;

/// Feeds mutated external input to the parsers, with a fixed seed. No parser may throw, and accepted values must be in range.
class FuzzTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(FuzzTest);
    CPPUNIT_TEST(damagedTargetRecordsAreRefusedOrHarmless);
    CPPUNIT_TEST(damagedConfigurationsAreRefusedOrHarmless);
    CPPUNIT_TEST(damagedBatchAnswersAreRefusedOrHarmless);
    CPPUNIT_TEST(damagedHeadersAreRefusedOrHarmless);
    CPPUNIT_TEST(eventsKeepTheirBytesHoweverTheyArrive);
    CPPUNIT_TEST(largeNumbersDoNotWrapAround);
    CPPUNIT_TEST(keptFindings);
    CPPUNIT_TEST_SUITE_END();

    static constexpr unsigned seed = 20'261'204;
    static constexpr int iterations = 4'000;

    std::unique_ptr<Site> m_site = Registry<Site>::instance().create("platform");
    std::mt19937 m_random{seed};

    static const std::string &targetRecord()
    {
        static const std::string text
            = R"({"service":"plain","address":"10.1.2.3:8080","zone":"north","version":"v1","state":"ready","capacity":64,"cold_remaining_ms":250,"born":1767225600000,"sequence":4})";
        return text;
    }

    static const std::string &configuration()
    {
        static const std::string text
            = R"({"version":7,"routes":[{"name":"r","hostname":"H","path_prefix":"/a/","type":"streaming","timeout_ms":8000,"target_latency_ms":2000,"priority":1,"backends":[{"service":"m","weight":90},{"service":"n","weight":10}],"max_attempts":1,"phases":[{"service":"s","after":[],"byte_count":1500000},{"service":"s","after":[0],"byte_count":8000}],"session_affinity":true,"gap_target_ms":300}],"services":[{"name":"m","max_connections":420,"cold_start_s":3.0,"cold_per_s":9.6},{"name":"s","fragments":{"capacity":1,"queue":2,"batch":12,"call_ms":200.0,"item_ms":14.0,"headroom_mb":27.0,"handle_s":4.0}}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[{"name":"t","api_keys":["k"],"priority":1}]})";
        return text;
    }

    std::size_t randomBelow(std::size_t n)
    {
        return m_random() % n;
    }

    /// Applies one to three random mutations: changes, removes or inserts bytes, or replaces a JSON value by one of another type or range.
    std::string mutate(std::string text)
    {
        static const std::vector<std::string> values{"-1",  "1e300", "1.5", "null", "true", "\"\"", "[]", "{}", "99999999999999999999",
                                                     "-0.5"};
        for (std::size_t n = 1 + randomBelow(3); n > 0; --n) {
            switch (randomBelow(4)) {
            case 0:
                text[randomBelow(text.size())] = static_cast<char>(m_random());
                break;
            case 1:
                text.erase(randomBelow(text.size()), 1 + randomBelow(8));
                break;
            case 2:
                text.insert(randomBelow(text.size()), std::string(1 + randomBelow(4), static_cast<char>(m_random())));
                break;
            default:
                replaceValue(text, values[randomBelow(values.size())]);
            }
            text += text.empty() ? "x" : "";
        }
        return text;
    }

    void replaceValue(std::string &text, const std::string &value)
    {
        const std::size_t colon = text.find(':', randomBelow(text.size()));
        const std::size_t end = colon == std::string::npos ? colon : text.find_first_of(",}]", colon);
        if (end != std::string::npos) {
            text.replace(colon + 1, end - colon - 1, value);
        }
    }

    void readConfiguration(const std::string &text) const
    {
        Reason reason;
        const auto change = m_site->recordCodec().operatorChange("config", text, reason);
        const auto *catalogue = change ? std::get_if<std::shared_ptr<const Catalogue>>(&*change) : nullptr;
        if (catalogue != nullptr) {
            (*catalogue)->route(HostName("h"), "/a/b");
            const ServiceRecord *service = (*catalogue)->service("s");
            CPPUNIT_ASSERT(service == nullptr || !service->batch || service->batch->maxBatchSize > 0);
        } else {
            CPPUNIT_ASSERT(!reason.text.empty());
        }
    }

public:
    void damagedTargetRecordsAreRefusedOrHarmless()
    {
        for (int it = 0; it < iterations; ++it) {
            Reason reason;
            const auto record = m_site->recordCodec().target("i-1", mutate(targetRecord()), reason);
            CPPUNIT_ASSERT(record ? record->coldRemaining >= std::chrono::milliseconds::zero() : !reason.text.empty());
        }
    }

    void damagedConfigurationsAreRefusedOrHarmless()
    {
        for (int it = 0; it < iterations; ++it) {
            readConfiguration(mutate(configuration()));
        }
    }

    void damagedBatchAnswersAreRefusedOrHarmless()
    {
        for (int it = 0; it < iterations; ++it) {
            const auto results = m_site->stageCodec().parseBatchResponse(
                mutate(R"({"entries":[{"handle":"10.1.64.7:8080/91bd3f06e44"},{"reason":"gone"}]})"), 2);
            CPPUNIT_ASSERT(!results || results->size() == 2);
            for (const StageCodec::PieceResponse &result : results.value_or(std::vector<StageCodec::PieceResponse>())) {
                m_site->stageCodec().storingTarget(result.handle);
            }
        }
    }

    void damagedHeadersAreRefusedOrHarmless()
    {
        const std::vector<std::pair<std::string, std::string>> fields{{"Host", "h"},
                                                                      {"X-Guavalock-Attempt-Id", "9c41d07be2a35f68"},
                                                                      {"X-Guavalock-Token-Usage", "1460,80"},
                                                                      {"X-Guavalock-Prefix-Hash", "5c1e07a2:800,91bd3f06:410"},
                                                                      {"X-Guavalock-Deadline-Ms", "8000"},
                                                                      {"X-Guavalock-Chunk-Count", "1,3"},
                                                                      {"X-Guavalock-Instance-Load", "3,0,8"}};
        for (int it = 0; it < iterations; ++it) {
            Http::request_header<> request;
            Http::response_header<> response;
            request.method(Http::verb::post);
            request.target("/a/b");
            for (const auto &[name, value] : fields) {
                std::string text = mutate(value);
                std::erase_if(text, [](unsigned char c) { return c < ' '; });
                request.set(name, text);
                response.set(name, text);
            }
            Reason reason;
            const auto parsed = m_site->relayCodec().parseRequest(request, reason);
            CPPUNIT_ASSERT(parsed || !reason.text.empty());
            m_site->relayCodec().parseResponse(response);
        }
    }

    void eventsKeepTheirBytesHoweverTheyArrive()
    {
        for (int it = 0; it < iterations / 10; ++it) {
            std::string sent;
            for (std::size_t n = 1; n <= 1 + randomBelow(6); ++n) {
                sent += "id: " + std::to_string(n) + "\ndata: " + std::string(randomBelow(40), 'x') + "\n\n";
            }
            EventSplitter splitter;
            std::string received;
            for (std::size_t offset = 0; offset < sent.size();) {
                const std::size_t n = 1 + randomBelow(9);
                received += splitter.append(std::string_view(sent).substr(offset, n));
                offset += n;
            }
            CPPUNIT_ASSERT_EQUAL(sent, received);
            CPPUNIT_ASSERT(!splitter.hasPartialEvent());
        }
    }

    void largeNumbersDoNotWrapAround()
    {
        std::string text = configuration();
        const std::string old = R"([{"service":"m","weight":90},{"service":"n","weight":10}])";
        text.replace(text.find(old), old.size(), R"([{"service":"n","weight":1},{"service":"m","weight":4294967296}])");
        Reason reason;
        const auto change = m_site->recordCodec().operatorChange("config", text, reason);
        CPPUNIT_ASSERT(change);
        const auto &catalogue = std::get<std::shared_ptr<const Catalogue>>(*change);
        CPPUNIT_ASSERT_EQUAL(std::string("m"), catalogue->serviceFor(*catalogue->route(HostName("h"), "/a/b"), "r1"));
    }

    /// Regression inputs that have caused failures before.
    void keptFindings()
    {
        for (const std::string after : {"[-1]", "[1.5]", "[7]", "[1e300]"}) {
            std::string text = configuration();
            const std::string old = R"("after":[0])";
            text.replace(text.find(old), old.size(), "\"after\":" + after);
            readConfiguration(text);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FuzzTest);

} // namespace Guavalock
