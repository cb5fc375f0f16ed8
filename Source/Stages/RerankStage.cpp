#include "Kernel/Registration.h"
#include "Settings/StageSettings.h"
#include "Stages/ContextFields.h"
#include "Stages/Stage.h"

#include <boost/json/array.hpp>

#include <algorithm>
#include <vector>

namespace Guavalock
{

namespace
{

struct Rank {
    std::size_t index = 0;
    double score = 0;
};

std::optional<Rank> readRank(const boost::json::value &value, std::size_t documents)
{
    const boost::json::object *object = value.if_object();
    const boost::json::value *index = object != nullptr ? object->if_contains("index") : nullptr;
    const boost::json::value *score = object != nullptr ? object->if_contains("relevance_score") : nullptr;
    if (index == nullptr || score == nullptr || !index->is_int64() || !score->is_number()) {
        return std::nullopt;
    }
    const std::int64_t position = index->get_int64();
    if (position < 0 || static_cast<std::size_t>(position) >= documents) {
        return std::nullopt;
    }
    return Rank{static_cast<std::size_t>(position), score->to_number<double>()};
}

/// Sorts `documents` by descending relevance score and keeps only the documents that the target returned.
class RerankStage : public Stage
{
public:
    std::optional<boost::json::object> input(const boost::json::object &context, const StageSettings &settings,
                                             Reason &reason) const override
    {
        const std::optional<std::string> text = ContextFields::text(context, "input", reason);
        const boost::json::value *documents = context.if_contains("documents");
        if (!text || documents == nullptr || !documents->is_array()) {
            reason = {ResultCode::MalformedRequest, "reranking requires the fields 'input' (a string) and 'documents' (an array)"};
            return std::nullopt;
        }
        return boost::json::object{
            {"query", *text}, {"documents", *documents}, {"top_n", ContextFields::count(context, "top_n", settings.topK)}};
    }

    bool merge(boost::json::object &context, boost::json::object output, Reason &reason) const override
    {
        const boost::json::array before = context["documents"].as_array();
        const boost::json::value *results = output.if_contains("results");
        if (results == nullptr || !results->is_array()) {
            reason = {ResultCode::AnswerInvalid, "the array 'results' is missing from the target's response"};
            return false;
        }
        std::vector<Rank> ranks;
        for (const boost::json::value &it : results->get_array()) {
            const std::optional<Rank> rank = readRank(it, before.size());
            if (!rank) {
                reason = {ResultCode::AnswerInvalid, "the target's response contains a malformed result or an index outside 'documents'"};
                return false;
            }
            ranks.push_back(*rank);
        }
        std::ranges::stable_sort(ranks, std::ranges::greater(), &Rank::score);
        boost::json::array after;
        for (const Rank &it : ranks) {
            after.push_back(before[it.index]);
        }
        context["documents"] = std::move(after);
        return true;
    }
};

const Registration<Stage, RerankStage> registration("rerank", "documents to documents in the order of relevance");

} // namespace

} // namespace Guavalock
