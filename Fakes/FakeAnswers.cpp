#include "FakeAnswers.h"

#include "Decisions/Hash.h"

#include <boost/json/serialize.hpp>

#include <algorithm>
#include <vector>

namespace Guavalock
{

namespace
{

constexpr std::size_t embeddingDimensions = 8;
constexpr std::size_t minTokens = 4;

} // namespace

boost::json::array FakeAnswers::embedding(const std::string &text)
{
    boost::json::array values;
    for (std::size_t it = 0; it < embeddingDimensions; ++it) {
        values.push_back(static_cast<double>(Hash::of(text, it) % 1000) / 1000.0);
    }
    return values;
}

boost::json::array FakeAnswers::documents(const std::string &query, std::size_t topK)
{
    boost::json::array list;
    for (std::size_t it = 0; it < topK; ++it) {
        list.push_back(boost::json::string("document " + Hash::hex(Hash::of(query, it))));
    }
    return list;
}

double FakeAnswers::score(const std::string &query, const std::string &document)
{
    return static_cast<double>(Hash::of(query + "\n" + document) % 1'000'000) / 1'000'000.0;
}

std::string FakeAnswers::token(const std::string &prompt, std::size_t position)
{
    return Hash::hex(Hash::of(prompt, position)).substr(0, 5) + " ";
}

std::size_t FakeAnswers::tokenCount(const std::string &prompt, std::size_t maxTokens)
{
    const std::size_t n = minTokens + Hash::of(prompt) % std::max<std::size_t>(1, maxTokens);
    return std::min(n, maxTokens);
}

std::string FakeAnswers::text(const std::string &prompt, std::size_t maxTokens)
{
    std::string text;
    const std::size_t n = tokenCount(prompt, maxTokens);
    for (std::size_t it = 0; it < n; ++it) {
        text += token(prompt, it);
    }
    return text;
}

std::string FakeAnswers::pipelineText(const std::string &input, std::size_t topK, std::size_t topN, std::size_t maxTokens)
{
    std::vector<std::string> documents;
    for (const boost::json::value &it : FakeAnswers::documents(input, topK)) {
        documents.emplace_back(it.get_string());
    }
    std::ranges::stable_sort(documents, std::ranges::greater(), [&](const std::string &it) { return score(input, it); });
    documents.resize(std::min(documents.size(), topN));
    std::string prompt;
    for (const std::string &it : documents) {
        prompt += it + "\n";
    }
    return text(prompt + input, maxTokens);
}

boost::json::object FakeAnswers::serviceResult(const boost::json::object &input)
{
    return {{"receipt", Hash::hex(Hash::of(boost::json::serialize(input)))}};
}

} // namespace Guavalock
