#include "Decisions/Hash.h"
#include "Kernel/Registration.h"
#include "Settings/StageSettings.h"
#include "Stages/ContextFields.h"
#include "Stages/Stage.h"

#include <boost/json/array.hpp>

namespace Guavalock
{

namespace
{

constexpr std::size_t affinityPrefix = 256; ///< Number of leading prompt bytes that are hashed for cache affinity.

std::string prompt(const boost::json::object &context, const std::string &text)
{
    std::string buf;
    const boost::json::value *documents = context.if_contains("documents");
    if (documents != nullptr && documents->is_array()) {
        for (const boost::json::value &it : documents->get_array()) {
            if (it.is_string()) {
                buf += it.get_string();
                buf += '\n';
            }
        }
    }
    return buf + text;
}

/// Generates `text` from the documents and the caller's `input` as a stream of tokens.
class GenerateStage : public Stage
{
public:
    std::optional<boost::json::object> input(const boost::json::object &context, const StageSettings &settings,
                                             Reason &reason) const override
    {
        const std::optional<std::string> text = ContextFields::text(context, "input", reason);
        if (!text) {
            return std::nullopt;
        }
        const std::size_t maxTokens = ContextFields::count(context, "max_tokens", settings.maxTokens);
        return boost::json::object{{"prompt", prompt(context, *text)}, {"max_tokens", maxTokens}};
    }

    bool merge(boost::json::object &context, boost::json::object output, Reason &reason) const override
    {
        return ContextFields::move(output, context, "text", reason) && ContextFields::move(output, context, "tokens", reason)
            && ContextFields::move(output, context, "checksum", reason);
    }

    bool streams() const override
    {
        return true;
    }

    std::uint64_t affinity(const boost::json::object &input) const override
    {
        const boost::json::value *text = input.if_contains("prompt");
        if (text == nullptr || !text->is_string()) {
            return 0;
        }
        const std::string_view whole = text->get_string();
        return Hash::of(whole.substr(0, affinityPrefix));
    }
};

const Registration<Stage, GenerateStage> registration("generate", "a prompt to a stream of tokens");

} // namespace

} // namespace Guavalock
