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

constexpr std::string_view doneMark = "[DONE]";
constexpr std::size_t parseBuffer = 2'048;
constexpr int urgentPriority = 0;
constexpr int ordinaryPriority = 10;

void readUsage(const boost::json::object &usage, StreamEvent &event)
{
    event.kind = StreamEvent::Kind::End;
    event.position = JsonText::number(usage, "total_position");
    event.promptTokens = JsonText::number(usage, "prompt_tokens");
}

/// The completions call with server-sent events, a position in each part and the total in the last.
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
        body["priority"] = call.urgent ? urgentPriority : ordinaryPriority;
        if (call.position > 0) {
            body["resume"] = boost::json::object{{"position", call.position}, {"text", call.textSoFar}};
        }
        return boost::json::serialize(body);
    }

    bool streams() const override
    {
        return true;
    }

    std::optional<boost::json::object> answer(std::string_view, Reason &reason) const override
    {
        reason = {ResultCode::AnswerInvalid, "the target answered without a stream"};
        return std::nullopt;
    }

    std::optional<StreamEvent> event(std::string_view data, std::string_view attemptId, Reason &reason) const override
    {
        if (data == doneMark) {
            return StreamEvent{StreamEvent::Kind::Failure, true, 0, "the stream is done without a total", 0};
        }
        // There is one event for each token, so the parsed value lives in a buffer on the stack.
        std::array<unsigned char, parseBuffer> buf;
        boost::json::monotonic_resource memory(buf.data(), buf.size());
        boost::json::error_code ec;
        const boost::json::value value = boost::json::parse(data, ec, &memory);
        if (ec || !value.is_object()) {
            reason = {ResultCode::AnswerInvalid, "an event of the target's stream is not a JSON object"};
            return std::nullopt;
        }
        return read(value.get_object(), attemptId, reason);
    }

private:
    static std::optional<StreamEvent> read(const boost::json::object &object, std::string_view attemptId, Reason &reason)
    {
        StreamEvent event;
        event.ownAttempt = JsonText::text(object, "id") == attemptId;
        event.position = JsonText::number(object, "position");
        if (object.contains("error")) {
            event.kind = StreamEvent::Kind::Failure;
            event.text = boost::json::serialize(object.at("error"));
        } else if (const boost::json::value *usage = object.if_contains("usage"); usage != nullptr && usage->is_object()) {
            readUsage(usage->get_object(), event);
        } else if (!readChoice(object, event)) {
            reason = {ResultCode::AnswerInvalid, "an event of the target's stream holds no choice"};
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
