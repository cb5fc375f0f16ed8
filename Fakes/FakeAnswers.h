#pragma once

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

#include <cstddef>
#include <string>

namespace Guavalock
{

/// Computes the responses of fake targets.
///
/// Each response is a deterministic function of the input, so that a test can compute the expected value.
class FakeAnswers
{
public:
    static boost::json::array embedding(const std::string &text);
    static boost::json::array documents(const std::string &query, std::size_t topK);
    static double score(const std::string &query, const std::string &document);
    static std::string token(const std::string &prompt, std::size_t position);
    static std::size_t tokenCount(const std::string &prompt, std::size_t maxTokens);
    static std::string text(const std::string &prompt, std::size_t maxTokens);

    /// Returns the text that a pipeline of the stages encode, retrieve, rerank and generate produces for an input.
    static std::string pipelineText(const std::string &input, std::size_t topK, std::size_t topN, std::size_t maxTokens);

    static boost::json::object serviceResult(const boost::json::object &input);
};

} // namespace Guavalock
