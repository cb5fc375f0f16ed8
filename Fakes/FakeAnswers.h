#pragma once

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

#include <cstddef>
#include <string>

namespace Guavalock
{

/// What stand-in targets answer: fixed functions of the input, so that a test can work out what its caller has to get.
class FakeAnswers
{
public:
    static boost::json::array embedding(const std::string &text);
    static boost::json::array documents(const std::string &query, std::size_t topK);
    static double score(const std::string &query, const std::string &document);
    static std::string token(const std::string &prompt, std::size_t position);
    static std::size_t tokenCount(const std::string &prompt, std::size_t maxTokens);
    static std::string text(const std::string &prompt, std::size_t maxTokens);

    /// Returns the text that the pipeline of encode, retrieve, rerank and generate gives for an input.
    static std::string pipelineText(const std::string &input, std::size_t topK, std::size_t topN, std::size_t maxTokens);

    static boost::json::object serviceResult(const boost::json::object &input);
};

} // namespace Guavalock
