#include "Flow/JsonText.h"
#include "Kernel/Registration.h"
#include "Targets/StreamEvent.h"
#include "Targets/TargetCall.h"
#include "Targets/TargetDialect.h"

#include <boost/json/array.hpp>
#include <boost/json/monotonic_resource.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

#include <array>

namespace Guavalock
{

namespace
{

constexpr std::string_view doneMarker = "[DONE]";
constexpr std::size_t parseBufferBytes = 2'048;
constexpr int urgentPriority = 0;
constexpr int defaultPriority = 10;

void readUsage(const boost::json::object &usage, StreamEvent &event)
{
    event.kind = StreamEvent::Kind::End;
    event.position = JsonText::number(usage, "total_position");
    event.promptTokens = JsonText::number(usage, "prompt_tokens");
}

/// The OpenAI completions API with server-sent events. Each event carries the token position, the last one the total token count.
class OpenAiGenerateDialect : public TargetDialect
{
public:
    std::string path(const TargetCall &) const override
    {
        return "/v1/completions";
    }

    std::string body(const TargetCall &call) const override
    {
        boost::json::object body = call.input;
        body["model"] = call.model;
        body["stream"] = true;
        body["priority"] = call.urgent ? urgentPriority : defaultPriority;
        if (call.position > 0) {
            body["resume"] = boost::json::object{{"position", call.position}, {"text", call.textSoFar}};
        }
        return boost::json::serialize(body);
    }

    bool streams() const override
    {
        return true;
    }

    std::optional<boost::json::object> parseResponse(std::string_view, Reason &reason) const override
    {
        reason = {ResultCode::AnswerInvalid, "the target did not send an event stream"};
        return std::nullopt;
    }

    std::optional<StreamEvent> parseEvent(std::string_view data, std::string_view attemptId, Reason &reason) const override
    {
        if (data == doneMarker) {
            return StreamEvent{StreamEvent::Kind::Failure, true, 0, "the stream sent [DONE] without usage totals", 0};
        }
        // Each token arrives as a separate event, so the parsed value is allocated from a stack buffer to avoid heap allocations.
        std::array<unsigned char, parseBufferBytes> buf;
        boost::json::monotonic_resource memory(buf.data(), buf.size());
        boost::json::error_code ec;
        const boost::json::value value = boost::json::parse(data, ec, &memory);
        if (ec || !value.is_object()) {
            reason = {ResultCode::AnswerInvalid, "an event of the target's stream is not a JSON object"};
            return std::nullopt;
        }
        return readEvent(value.get_object(), attemptId, reason);
    }

private:
    static std::optional<StreamEvent> readEvent(const boost::json::object &object, std::string_view attemptId, Reason &reason)
    {
        StreamEvent event;
        event.matchesAttempt = JsonText::text(object, "id") == attemptId;
        event.position = JsonText::number(object, "position");
        if (object.contains("error")) {
            event.kind = StreamEvent::Kind::Failure;
            event.text = boost::json::serialize(object.at("error"));
        } else if (const boost::json::value *usage = object.if_contains("usage"); usage != nullptr && usage->is_object()) {
            readUsage(usage->get_object(), event);
        } else if (!readChoice(object, event)) {
            reason = {ResultCode::AnswerInvalid, "an event of the target's stream has no choices"};
            return std::nullopt;
        }
        return event;
    }

    static bool readChoice(const boost::json::object &object, StreamEvent &event)
    {
        const boost::json::value *choices = object.if_contains("choices");
        if (choices == nullptr || !choices->is_array() || choices->get_array().empty() || !choices->get_array().front().is_object()) {
            return false;
        }
        event.text = JsonText::text(choices->get_array().front().get_object(), "text");
        return true;
    }
};

const Registration<TargetDialect, OpenAiGenerateDialect> registration("openai-generate", "completions as server-sent events");

} // namespace

} // namespace Guavalock
