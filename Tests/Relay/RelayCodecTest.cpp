#include "Fleet/Catalogue.h"
#include "Kernel/Refusal.h"
#include "PlatformRecordCodec.h"
#include "PlatformRelayCodec.h"
#include "PlatformStageCodec.h"
#include "Relay/EventSplitter.h"

#include <cppunit/extensions/HelperMacros.h>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <map>

namespace Guavalock
{

/// Tests the platform's codecs and the splitting of event streams.
class RelayCodecTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RelayCodecTest);
    CPPUNIT_TEST(reservedClientHeadersAreDropped);
    CPPUNIT_TEST(hopByHopHeadersAreDroppedExceptProtected);
    CPPUNIT_TEST(hostsAreForwardedAsSent);
    CPPUNIT_TEST(targetsInAbsoluteFormNameTheHost);
    CPPUNIT_TEST(requestsRequireIdHostAndAbsolutePath);
    CPPUNIT_TEST(responsesIndicateExecution);
    CPPUNIT_TEST(loadReportsMayStateTheDurationOfWork);
    CPPUNIT_TEST(statementsOfTargetsAreDecoded);
    CPPUNIT_TEST(malformedStatementsAreIgnoredOrBounded);
    CPPUNIT_TEST(limitsOfTargetsAreDecoded);
    CPPUNIT_TEST(mediaTypesAreComparable);
    CPPUNIT_TEST(contentCodingsAreCaseInsensitive);
    CPPUNIT_TEST(refusalStatusDoesNotClaimNonExecution);
    CPPUNIT_TEST(lastPromptPartIsNotShared);
    CPPUNIT_TEST(batchResultsMatchPieceOrder);
    CPPUNIT_TEST(invalidTargetRecordsAreRejected);
    CPPUNIT_TEST(incompleteTargetRecordsNameNoTarget);
    CPPUNIT_TEST(configurationIsDecoded);
    CPPUNIT_TEST(keysAreNeededWithAListOfOrganisations);
    CPPUNIT_TEST(configurationsWithFieldsOfAnotherTypeAreRejected);
    CPPUNIT_TEST(eventsAreSplitAtBoundaries);
    CPPUNIT_TEST_SUITE_END();

    RelayCodec::RequestHead head() const
    {
        RelayCodec::RequestHead head;
        head.method(boost::beast::http::verb::post);
        head.target("/a/b?c=d");
        head.set("Host", "Shop.example:80");
        head.set("X-Guavalock-Attempt-Id", "id1");
        return head;
    }

    OpaqueRequest request(const RelayCodec::RequestHead &head) const
    {
        Reason reason;
        std::optional<OpaqueRequest> it = PlatformRelayCodec().parseRequest(head, reason);
        CPPUNIT_ASSERT_MESSAGE(reason.text, it);
        return *it;
    }

    static std::string value(const HttpFields &fields, const std::string &name)
    {
        const auto it = std::ranges::find(fields, name, &HttpFields::value_type::first);
        return it == fields.end() ? std::string() : it->second;
    }

    static std::size_t count(const HttpFields &fields, const std::string &name)
    {
        return static_cast<std::size_t>(std::ranges::count(fields, name, &HttpFields::value_type::first));
    }

public:
    void reservedClientHeadersAreDropped()
    {
        RelayCodec::RequestHead head = this->head();
        head.set("Api-Key", "secret");
        head.set("X-Guavalock-Tenant-Id", "somebody");
        head.set("x-guavalock-kv-hold", "1");
        head.set("Kv-From", "10.0.0.1:80/x");
        head.set("X-Guavalock-Expect-Instance", "other");
        head.set("X-Guavalock-Deadline-Ms", "900");
        head.set("Accept", "text/event-stream");
        const OpaqueRequest it = request(head);
        CPPUNIT_ASSERT_EQUAL(std::string("secret"), it.apiKey);
        CPPUNIT_ASSERT(it.host == HostName("shop.example"));
        CPPUNIT_ASSERT(it.deadline == std::chrono::milliseconds(900));
        UpstreamParameters parameters;
        parameters.targetId = "t1";
        parameters.organisation = "mill";
        parameters.remainingTime = std::chrono::milliseconds(450);
        const HttpFields sent = PlatformRelayCodec().upstreamHeaders(it, parameters);
        CPPUNIT_ASSERT_EQUAL(std::string("mill"), value(sent, "X-Guavalock-Tenant-Id"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), count(sent, "X-Guavalock-Tenant-Id"));
        CPPUNIT_ASSERT_EQUAL(std::string("t1"), value(sent, "X-Guavalock-Expect-Instance"));
        CPPUNIT_ASSERT_EQUAL(std::string("450"), value(sent, "X-Guavalock-Deadline-Ms"));
        CPPUNIT_ASSERT_EQUAL(std::string("id1"), value(sent, "X-Guavalock-Attempt-Id"));
        CPPUNIT_ASSERT_EQUAL(std::string("text/event-stream"), value(sent, "Accept"));
        for (const std::string name : {"Api-Key", "x-guavalock-kv-hold", "Kv-From"}) {
            CPPUNIT_ASSERT_EQUAL(std::size_t(0), count(sent, name));
        }
    }

    void hopByHopHeadersAreDroppedExceptProtected()
    {
        RelayCodec::RequestHead head = this->head();
        head.set("Connection", "keep-alive, X-Trace, X-Guavalock-Model-Id");
        head.set("X-Trace", "1");
        head.set("X-Guavalock-Model-Id", "m");
        head.set("Keep-Alive", "timeout=4");
        head.set("Transfer-Encoding", "chunked");
        const OpaqueRequest it = request(head);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), it.headers.size());
        CPPUNIT_ASSERT_EQUAL(std::string("m"), value(it.headers, "X-Guavalock-Model-Id"));
    }

    /// Guards against targets that build addresses from a Host field without the client's port or spelling.
    void hostsAreForwardedAsSent()
    {
        for (const std::string host : {"shop.example", "Shop.Example", "shop.example:8080", "SHOP.example:80"}) {
            RelayCodec::RequestHead head = this->head();
            head.set("Host", host);
            const HttpFields sent = PlatformRelayCodec().upstreamHeaders(request(head), UpstreamParameters());
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), count(sent, "Host"));
            CPPUNIT_ASSERT_EQUAL(host, value(sent, "Host"));
        }
    }

    /// Guards against the rejection of clients that treat the daemon like a proxy, and against a host that is taken from two places.
    void targetsInAbsoluteFormNameTheHost()
    {
        const std::map<std::string, std::pair<std::string, std::string>> forms{
            {"http://Desk.example:8080/a/b?c=d", {"Desk.example:8080", "/a/b?c=d"}},
            {"HTTPS://desk.example/A", {"desk.example", "/A"}},
            {"http://[::1]?x", {"[::1]", "/?x"}},
            {"http://desk.example", {"desk.example", "/"}},
            {"/http://desk.example/", {"Shop.example:80", "/http://desk.example/"}}};
        for (const auto &[target, expected] : forms) {
            RelayCodec::RequestHead head = this->head();
            head.target(target);
            const OpaqueRequest it = request(head);
            CPPUNIT_ASSERT_EQUAL(expected.first, it.host.text());
            CPPUNIT_ASSERT_EQUAL(expected.second, it.requestTarget);
            CPPUNIT_ASSERT_EQUAL(expected.first, value(PlatformRelayCodec().upstreamHeaders(it, UpstreamParameters()), "Host"));
        }
        for (const std::string target : {"http://", "http:///a", "http:/a", "http://user@desk.example/a", "http://desk.example:x/a",
                                         "ftp://desk.example/a", "desk.example/a", "desk.example:80"}) {
            RelayCodec::RequestHead head = this->head();
            head.target(target);
            Reason reason;
            CPPUNIT_ASSERT_MESSAGE(target, !PlatformRelayCodec().parseRequest(head, reason));
            CPPUNIT_ASSERT(reason.code == ResultCode::MalformedRequest);
        }
    }

    void requestsRequireIdHostAndAbsolutePath()
    {
        Reason reason;
        RelayCodec::RequestHead head = this->head();
        head.erase("X-Guavalock-Attempt-Id");
        CPPUNIT_ASSERT(!PlatformRelayCodec().parseRequest(head, reason));
        CPPUNIT_ASSERT(reason.code == ResultCode::MalformedRequest);
        head = this->head();
        head.target("*");
        CPPUNIT_ASSERT(!PlatformRelayCodec().parseRequest(head, reason));
    }

    void responsesIndicateExecution()
    {
        RelayCodec::ResponseHead head;
        head.result(503);
        CPPUNIT_ASSERT(!PlatformRelayCodec().parseResponse(head).notExecuted);
        head.set("X-Guavalock-Not-Executed", "1");
        CPPUNIT_ASSERT(PlatformRelayCodec().parseResponse(head).notExecuted);
        CPPUNIT_ASSERT(!PlatformRelayCodec().parseResponse(head).inputsMissing);
        head.result(409);
        CPPUNIT_ASSERT(PlatformRelayCodec().parseResponse(head).inputsMissing);
        RelayCodec::ResponseHead moved;
        moved.result(421);
        CPPUNIT_ASSERT(PlatformRelayCodec().parseResponse(moved).notExecuted && PlatformRelayCodec().parseResponse(moved).wrongTarget);
        RelayCodec::ResponseHead load;
        load.set("X-Guavalock-Instance-Load", "3, 1,8");
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), PlatformRelayCodec().parseResponse(load).load->waiting);
        load.set("X-Guavalock-Instance-Load", "3,x,8");
        CPPUNIT_ASSERT(!PlatformRelayCodec().parseResponse(load).load);
    }

    /// Guards against dropping the whole load report of targets that also state how long work takes on their machine.
    void loadReportsMayStateTheDurationOfWork()
    {
        const auto loadOf = [](const char *text) {
            RelayCodec::ResponseHead head;
            head.set("X-Guavalock-Instance-Load", text);
            return PlatformRelayCodec().parseResponse(head).load;
        };
        CPPUNIT_ASSERT(!loadOf("3,1,8")->slowdown);
        const std::optional<TargetLoad> slow = loadOf("3, 1, 8, 250");
        CPPUNIT_ASSERT(slow);
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), slow->running);
        CPPUNIT_ASSERT_EQUAL(std::size_t(8), slow->slots);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(2.5, slow->slowdown.value(), 1e-9);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), loadOf("3,1,8,0")->waiting);
        CPPUNIT_ASSERT(!loadOf("3,1,8,0")->slowdown);
        CPPUNIT_ASSERT(!loadOf("3,1,8,x")->slowdown);
        CPPUNIT_ASSERT(loadOf("3,1,8,100,7")->slowdown);
        CPPUNIT_ASSERT(!loadOf("3,1"));
    }

    static AvailabilityStatement statement(unsigned status, const std::vector<std::pair<std::string, std::string>> &headers)
    {
        RelayCodec::ResponseHead head;
        head.result(status);
        for (const auto &[name, value] : headers) {
            head.insert(name, value);
        }
        const AvailabilityStatement parsed = PlatformRelayCodec().parseResponse(head).availability;
        const AvailabilityStatement staged = PlatformStageCodec().parseAvailability(status, headers);
        CPPUNIT_ASSERT(parsed.leaves == staged.leaves && parsed.pause == staged.pause && parsed.requestLimit == staged.requestLimit);
        return parsed;
    }

    void statementsOfTargetsAreDecoded()
    {
        using std::chrono::milliseconds;
        CPPUNIT_ASSERT(statement(200, {}).isEmpty());
        for (const unsigned status : {200U, 400U, 500U, 503U}) {
            CPPUNIT_ASSERT(statement(status, {{"server-leaving", "1"}}).leaves);
        }
        CPPUNIT_ASSERT(statement(503, {{"Retry-After", "3"}}).pause == milliseconds(3'000));
        CPPUNIT_ASSERT(statement(503, {{"Retry-After", " 0.25 "}}).pause == milliseconds(250));
        CPPUNIT_ASSERT(statement(503, {{"Retry-After", "0"}}).pause == milliseconds(0));
        CPPUNIT_ASSERT(statement(429, {{"Retry-After", "3"}}).isEmpty());
        // Another target responds at the address.
        CPPUNIT_ASSERT(statement(421, {{"Server-Leaving", "1"}}).isEmpty());
        // Clients receive the headers as the target sent them.
        RelayCodec::ResponseHead head;
        head.set("Server-Leaving", "1");
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), count(PlatformRelayCodec().parseResponse(head).headers, "Server-Leaving"));
    }

    void malformedStatementsAreIgnoredOrBounded()
    {
        using std::chrono::milliseconds;
        for (const std::string value : {"", "-1", "soon", "inf", "nan", "3s", "1,2", "0x3", "Fri, 31 Dec 1999 23:59:59 GMT"}) {
            CPPUNIT_ASSERT_MESSAGE(value, !statement(503, {{"Retry-After", value}}).pause);
        }
        for (const std::string value : {"601", "1e12", "1e999", "99999999999999999999999999"}) {
            CPPUNIT_ASSERT_MESSAGE(value, statement(503, {{"Retry-After", value}}).pause == milliseconds(600'000));
        }
        CPPUNIT_ASSERT(statement(503, {{"Retry-After", "2"}, {"Retry-After", "5"}}).pause == milliseconds(5'000));
        CPPUNIT_ASSERT(statement(503, {{"Retry-After", "2"}, {"Retry-After", "soon"}}).pause == milliseconds(2'000));
        for (const std::string value : {"", "0", "-1", "yes", "1, 1"}) {
            CPPUNIT_ASSERT_MESSAGE(value, !statement(200, {{"Server-Leaving", value}}).leaves);
        }
        CPPUNIT_ASSERT(statement(200, {{"Server-Leaving", "0"}, {"Server-Leaving", "1"}}).leaves);
    }

    void limitsOfTargetsAreDecoded()
    {
        constexpr double unlimited = AvailabilityStatement::unlimited;
        for (const unsigned status : {200U, 400U, 500U, 503U}) {
            CPPUNIT_ASSERT(statement(status, {{"server-limit", " 1.25 "}}).requestLimit == 1.25);
            CPPUNIT_ASSERT(statement(status, {}).requestLimit == unlimited);
        }
        CPPUNIT_ASSERT(statement(200, {{"Server-Limit", "0"}}).requestLimit == 0);
        CPPUNIT_ASSERT(statement(200, {{"Server-Limit", "3"}, {"Server-Limit", "2"}}).requestLimit == 2);
        CPPUNIT_ASSERT(statement(200, {{"Server-Limit", "3"}, {"Server-Limit", "few"}}).requestLimit == 3);
        for (const std::string value : {"", "-1", "few", "nan", "inf", "1,2", "2/s", "0x2"}) {
            CPPUNIT_ASSERT_MESSAGE(value, !statement(200, {{"Server-Limit", value}}).requestLimit);
        }
        for (const std::string value : {"1e12", "1e999", "99999999999999999999999999"}) {
            CPPUNIT_ASSERT_MESSAGE(value, statement(200, {{"Server-Limit", value}}).requestLimit == 1'000'000);
        }
        CPPUNIT_ASSERT(!statement(421, {{"Server-Limit", "1"}}).requestLimit);
        CPPUNIT_ASSERT(!statement(421, {}).requestLimit);
    }

    void mediaTypesAreComparable()
    {
        RelayCodec::ResponseHead head;
        CPPUNIT_ASSERT_EQUAL(std::string(), PlatformRelayCodec().parseResponse(head).mediaType);
        for (const std::string value : {"text/event-stream", "Text/Event-Stream; charset=utf-8", "text/event-stream ;x=y"}) {
            head.set("Content-Type", value);
            CPPUNIT_ASSERT_EQUAL(std::string("text/event-stream"), PlatformRelayCodec().parseResponse(head).mediaType);
        }
    }

    /// Guards against a complete response that is taken for an encoded one, and given up, because of the case of "identity".
    void contentCodingsAreCaseInsensitive()
    {
        RelayCodec::ResponseHead head;
        CPPUNIT_ASSERT(!PlatformRelayCodec().parseResponse(head).hasContentEncoding);
        for (const std::string value : {"identity", "Identity", "IDENTITY"}) {
            head.set("Content-Encoding", value);
            CPPUNIT_ASSERT_MESSAGE(value, !PlatformRelayCodec().parseResponse(head).hasContentEncoding);
        }
        for (const std::string value : {"gzip", "GZIP", "identity, gzip", "identityx"}) {
            head.set("Content-Encoding", value);
            CPPUNIT_ASSERT_MESSAGE(value, PlatformRelayCodec().parseResponse(head).hasContentEncoding);
        }
    }

    void refusalStatusDoesNotClaimNonExecution()
    {
        const PlatformRelayCodec codec;
        for (const ResultCodeInfo &it : resultCodes()) {
            const unsigned status = codec.httpStatus(Refusal::of(it.code, RunState::Unknown, ""));
            // These statuses tell the client that the request was not executed.
            const bool claimsNotExecuted = status == 408 || status == 421 || status == 429 || status == 503;
            const bool isOutcomeCode = resultNumber(it.code) / 100 == 4;
            CPPUNIT_ASSERT(!(claimsNotExecuted && isOutcomeCode));
        }
        CPPUNIT_ASSERT_EQUAL(401U, codec.httpStatus(Refusal::of(ResultCode::NotAuthorised, RunState::No, "")));
        CPPUNIT_ASSERT_EQUAL(504U, codec.httpStatus(Refusal::of(ResultCode::DeadlineExceeded, RunState::Unknown, "")));
    }

    void lastPromptPartIsNotShared()
    {
        RelayCodec::RequestHead head = this->head();
        head.set("X-Guavalock-Prefix-Hash", "5c:800,91:410,e4:250");
        head.set("X-Guavalock-Token-Usage", "1460,80");
        head.set("X-Guavalock-Chunk-Count", "1,0,6");
        const OpaqueRequest it = request(head);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1'210), it.sharedPromptTokens);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1'460), it.promptTokens);
        CPPUNIT_ASSERT(it.outputTokens == 80 && it.sharedPartTokens == (std::vector<std::size_t>{800, 410}));
        CPPUNIT_ASSERT((it.pieceCounts == std::vector<std::size_t>{1, 0, 6}));
        head.set("X-Guavalock-Prefix-Hash", "77:9,91:410,00:1");
        CPPUNIT_ASSERT_EQUAL(it.sharedPromptHash, request(head).sharedPromptHash);
        head.set("X-Guavalock-Prefix-Hash", "e4:250");
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), request(head).sharedPromptHash);
    }

    void batchResultsMatchPieceOrder()
    {
        const PlatformStageCodec codec;
        const auto made = codec.parseBatchResponse(R"({"entries":[{"handle":"10.0.0.1:80/a"},{"reason":"gone"},{"reason":"room"},{}]})", 4);
        CPPUNIT_ASSERT(made->at(0).outcome == StageCodec::PieceResponse::Outcome::Completed);
        CPPUNIT_ASSERT(made->at(1).outcome == StageCodec::PieceResponse::Outcome::InputsMissing);
        CPPUNIT_ASSERT(made->at(2).outcome == StageCodec::PieceResponse::Outcome::OutOfStorage);
        CPPUNIT_ASSERT(made->at(3).outcome == StageCodec::PieceResponse::Outcome::Failed);
        CPPUNIT_ASSERT(!codec.parseBatchResponse(R"({"entries":[{}]})", 2));
        CPPUNIT_ASSERT(!codec.parseBatchResponse("<html>", 1));
        CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.1:80"), codec.storingTarget("10.0.0.1:80/a")->text());
    }

    void invalidTargetRecordsAreRejected()
    {
        const PlatformRecordCodec codec;
        Reason reason;
        const std::string good
            = R"({"service":"s","address":"10.0.0.1:80","zone":"z","version":"v1","capacity":64,"state":"ready","cold_remaining_ms":40,"born":7,"sequence":1})";
        CPPUNIT_ASSERT(codec.target("i-1", good, reason)->coldRemaining == std::chrono::milliseconds(40));
        for (const std::string text :
             {"", "[]", "\xff\xfe", R"({"service":"s"})", R"({"service":1,"address":"10.0.0.1:80","zone":"z","state":"ready"})",
              R"({"service":"s","address":"10.0.0.1:80","zone":"z","state":"asleep"})",
              R"({"service":"s","address":"nowhere","zone":"z","state":"ready"})"}) {
            CPPUNIT_ASSERT(!codec.target("i-1", text, reason));
        }
    }

    /// Records of other writers may lack fields or hold values of another type.
    void incompleteTargetRecordsNameNoTarget()
    {
        namespace Json = boost::json;
        const PlatformRecordCodec codec;
        const Json::object good{
            {"service", "s"},   {"address", "10.0.0.1:80"}, {"zone", "z"},   {"version", "v1"}, {"capacity", 64},
            {"state", "ready"}, {"cold_remaining_ms", 40},  {"sequence", 1}, {"born", 7},       {"new_field", Json::array{1, "a"}}};
        const auto accepts = [&](const Json::object &record) {
            Reason reason;
            return codec.target("i-1", Json::serialize(record), reason).has_value();
        };
        CPPUNIT_ASSERT(accepts(good));
        const std::map<std::string, std::vector<Json::value>> wrongValues{
            {"service", {1, nullptr}},           {"address", {Json::array{}, true}}, {"zone", {Json::object{}, 7}},
            {"version", {Json::array{}}},        {"capacity", {"six", nullptr, -1}}, {"state", {1, "asleep"}},
            {"cold_remaining_ms", {"none", -5}}, {"sequence", {"x", -1, 1.5}},       {"born", {"today", 7.5, -7}}};
        for (const auto &[field, values] : wrongValues) {
            Json::object record = good;
            record.erase(field);
            CPPUNIT_ASSERT_MESSAGE(field + " is missing", !accepts(record) || field == "born");
            for (const Json::value &it : values) {
                record[field] = it;
                CPPUNIT_ASSERT_MESSAGE(field + ' ' + Json::serialize(it), !accepts(record));
            }
        }
    }

    void configurationIsDecoded()
    {
        const PlatformRecordCodec codec;
        Reason reason;
        const std::string text = R"({"version":7,"routes":[{"name":"r","hostname":"h","path_prefix":"/p/","type":"streaming",
            "timeout_ms":6000,"target_latency_ms":1800,"priority":1,"backends":[{"service":"a","weight":90},{"service":"b","weight":10}],
            "max_attempts":2,"phases":[{"service":"k","after":[],"byte_count":8000},{"service":"l","after":[0],"byte_count":60000}],
            "resumable":true,"gap_target_ms":200}],"services":[{"name":"k","cold_start_s":3.0,"cold_per_s":11.0,
            "fragments":{"capacity":1,"queue":2,"batch":46,"call_ms":200.0,"item_ms":3.7,"headroom_mb":0.61,"handle_s":4.0}},
            {"name":"m","engine_id":{"capacity":64,"kv_capacity":407694}},{"name":"n","engine_id":{"capacity":64}}],
            "limits":{"max_body_bytes":9},"tenants":[{"name":"t","api_keys":["k1"],"priority":1}]})";
        const auto change = codec.operatorChange("config", text, reason);
        CPPUNIT_ASSERT_MESSAGE(reason.text, change);
        const auto &catalogue = *std::get<std::shared_ptr<const Catalogue>>(*change);
        const RouteRecord &route = *catalogue.route(HostName("h"), "/p/x");
        CPPUNIT_ASSERT(route.retryable() && route.semantics == ExecutionSemantics::Stream);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), route.services.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), route.stages.at(1).dependencies.at(0));
        const BatchParameters &parameters = *catalogue.service("k")->batch;
        CPPUNIT_ASSERT(parameters.perPieceTime == std::chrono::microseconds(3'700));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(610'000), parameters.resultCapacityBytes);
        CPPUNIT_ASSERT(catalogue.service("m")->capacity == (ModelCapacity{64, 407'694}) && !catalogue.service("n")->capacity);
        CPPUNIT_ASSERT(catalogue.modelServices() == std::vector<std::string>{"m"});
        CPPUNIT_ASSERT_EQUAL(1U, *catalogue.organisation("k1")->rank);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(9), catalogue.limits().bodyBytes);
        CPPUNIT_ASSERT(std::get<EvacuationChange>(*codec.operatorChange("evacuate/z", "{}", reason)).evacuated);
        CPPUNIT_ASSERT(!std::get<EvacuationChange>(*codec.operatorChange("evacuate/z", std::nullopt, reason)).evacuated);
    }

    /// review/6: a configuration without a list of organisations was told apart from an empty one nowhere.
    void keysAreNeededWithAListOfOrganisations()
    {
        const PlatformRecordCodec codec;
        Reason reason;
        const auto requiresKey = [&](const std::string &text) {
            const auto change = codec.operatorChange("config", text, reason);
            CPPUNIT_ASSERT_MESSAGE(text + reason.text, change);
            return std::get<std::shared_ptr<const Catalogue>>(*change)->requiresApiKey();
        };
        CPPUNIT_ASSERT(!requiresKey(R"({"version":1})"));
        CPPUNIT_ASSERT(requiresKey(R"({"version":1,"tenants":[]})"));
        CPPUNIT_ASSERT(requiresKey(R"({"version":1,"tenants":[{"name":"t"}]})"));
        CPPUNIT_ASSERT(requiresKey(R"({"version":1,"tenants":[{"name":"t","api_keys":[]}]})"));
    }

    /// A field that cannot be read must not count as an empty one.
    void configurationsWithFieldsOfAnotherTypeAreRejected()
    {
        const PlatformRecordCodec codec;
        for (const std::string field :
             {R"("tenants":null)", R"("tenants":{})", R"("tenants":"t")", R"("tenants":[1])", R"("tenants":[{"api_keys":[]}])",
              R"("tenants":[{"name":"t","api_keys":"k"}])", R"("tenants":[{"name":"t","api_keys":[1]}])", R"("routes":{})",
              R"("routes":[1])", R"("services":null)", R"("limits":[])", R"("version":"2")", R"("version":1.5)"}) {
            Reason reason;
            CPPUNIT_ASSERT_MESSAGE(field, !codec.operatorChange("config", "{" + field + "}", reason));
            CPPUNIT_ASSERT(reason.code == ResultCode::SettingsInvalid);
        }
    }

    void eventsAreSplitAtBoundaries()
    {
        EventSplitter splitter;
        CPPUNIT_ASSERT_EQUAL(std::string(), splitter.append("id: 1\nda"));
        CPPUNIT_ASSERT_EQUAL(std::string("id: 1\ndata: x\n\n"), splitter.append("ta: x\n\nid: 2\n"));
        CPPUNIT_ASSERT_EQUAL(std::string("1"), splitter.lastEventId());
        CPPUNIT_ASSERT(splitter.hasPartialEvent());
        splitter.discardPartialEvent();
        CPPUNIT_ASSERT_EQUAL(std::string("id:3\r\n\r\n"), splitter.append("id:3\r\n\r\n"));
        CPPUNIT_ASSERT_EQUAL(std::string("3"), splitter.lastEventId());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RelayCodecTest);

} // namespace Guavalock
