#include "Kernel/Registry.h"
#include "Targets/LoadHeader.h"
#include "Targets/SseReader.h"
#include "Targets/StreamEvent.h"
#include "Targets/TargetCall.h"
#include "Targets/TargetDialect.h"

#include <boost/json/parse.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace Guavalock
{

class DialectTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(DialectTest);
    CPPUNIT_TEST(generationResumesFromPosition);
    CPPUNIT_TEST(doneWithoutUsageTotalsIsAFailure);
    CPPUNIT_TEST(responsesWithMissingFieldsAreRejected);
    CPPUNIT_TEST(eventsMaySpanChunks);
    CPPUNIT_TEST(oversizedEventsAreRejected);
    CPPUNIT_TEST(loadHeaderRequiresIncarnationAndState);
    CPPUNIT_TEST_SUITE_END();

    static std::unique_ptr<TargetDialect> dialect(const char *name)
    {
        return Registry<TargetDialect>::instance().create(name);
    }

public:
    void generationResumesFromPosition()
    {
        TargetCall call;
        call.input = {{"prompt", "p"}, {"max_tokens", 9}};
        call.position = 3;
        call.textSoFar = "abc";
        const boost::json::object body = boost::json::parse(dialect("openai-generate")->body(call)).as_object();
        CPPUNIT_ASSERT_EQUAL(std::int64_t(3), body.at("resume").as_object().at("position").as_int64());
        call.position = 0;
        CPPUNIT_ASSERT(!boost::json::parse(dialect("openai-generate")->body(call)).as_object().contains("resume"));
    }

    void doneWithoutUsageTotalsIsAFailure()
    {
        Reason reason;
        const std::optional<StreamEvent> event = dialect("openai-generate")->parseEvent("[DONE]", "x", reason);
        CPPUNIT_ASSERT(event && event->kind == StreamEvent::Kind::Failure);
        const std::optional<StreamEvent> end
            = dialect("openai-generate")->parseEvent(R"({"id":"x","usage":{"prompt_tokens":5,"total_position":7}})", "x", reason);
        CPPUNIT_ASSERT(end && end->kind == StreamEvent::Kind::End && end->position == 7 && end->promptTokens == 5 && end->matchesAttempt);
        const std::optional<StreamEvent> other
            = dialect("openai-generate")->parseEvent(R"({"id":"y","position":0,"choices":[{"text":"a"}]})", "x", reason);
        CPPUNIT_ASSERT(other && !other->matchesAttempt);
    }

    void responsesWithMissingFieldsAreRejected()
    {
        Reason reason;
        CPPUNIT_ASSERT(!dialect("openai-embeddings")->parseResponse(R"({"data":[]})", reason));
        CPPUNIT_ASSERT(reason.code == ResultCode::AnswerInvalid);
        CPPUNIT_ASSERT(!dialect("retrieval")->parseResponse("[1]", reason));
        CPPUNIT_ASSERT(!dialect("service")->parseResponse("{", reason));
        CPPUNIT_ASSERT(!dialect("openai-generate")->parseEvent(R"({"id":"x"})", "x", reason));
    }

    void eventsMaySpanChunks()
    {
        const std::string stream = ": comment\nevent: token\ndata: one\ndata: two\r\n\r\ndata:three\n\n";
        for (std::size_t cut = 0; cut <= stream.size(); ++cut) {
            SseReader reader;
            bool valid = true;
            std::vector<std::string> events = reader.feed(std::string_view(stream).substr(0, cut), valid);
            const std::vector<std::string> rest = reader.feed(std::string_view(stream).substr(cut), valid);
            events.insert(events.end(), rest.begin(), rest.end());
            CPPUNIT_ASSERT((events == std::vector<std::string>{"one\ntwo", "three"}));
        }
    }

    void oversizedEventsAreRejected()
    {
        SseReader reader;
        bool valid = true;
        reader.feed(std::string(SseReader::maxEventBytes + 1, 'x'), valid);
        CPPUNIT_ASSERT(!valid);
    }

    void loadHeaderRequiresIncarnationAndState()
    {
        const LoadReport report{"7f", true, 3, 2};
        const std::optional<LoadReport> read = LoadHeader::parse(LoadHeader::write(report));
        CPPUNIT_ASSERT(read && read->incarnation == "7f" && read->warm && read->running == 3 && read->waiting == 2);
        CPPUNIT_ASSERT(!LoadHeader::parse("state=warm"));
        CPPUNIT_ASSERT(!LoadHeader::parse("incarnation=1; state=tepid"));
        CPPUNIT_ASSERT(!LoadHeader::parse(""));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DialectTest);

} // namespace Guavalock
