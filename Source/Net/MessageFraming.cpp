#include "Net/MessageFraming.h"

#include <boost/beast/core/string.hpp>

#include <algorithm>

namespace Guavalock
{

namespace Http = boost::beast::http;

namespace
{

constexpr unsigned firstVersionWithChunks = 11;
constexpr unsigned firstFinalStatus = 200; ///< Lower ones are interim responses (RFC 9110, section 15).
constexpr unsigned lastStatus = 599;

bool isDecimal(boost::beast::string_view text)
{
    return !text.empty() && std::ranges::all_of(text, [](char it) { return it >= '0' && it <= '9'; });
}

} // namespace

std::optional<std::string> MessageFraming::findFault(const Http::fields &fields, unsigned version)
{
    const auto codings = fields.equal_range(Http::field::transfer_encoding);
    const auto lengths = fields.equal_range(Http::field::content_length);
    const auto codingCount = std::distance(codings.first, codings.second);
    const auto lengthCount = std::distance(lengths.first, lengths.second);
    if (lengthCount > 1 || (lengthCount == 1 && !isDecimal(lengths.first->value()))) {
        return "Content-Length must occur once, as a decimal number";
    }
    if (codingCount == 0) {
        return std::nullopt;
    }
    if (codingCount > 1 || !boost::beast::iequals(codings.first->value(), "chunked")) {
        return "Transfer-Encoding must be \"chunked\"";
    }
    if (lengthCount > 0) {
        return "Transfer-Encoding and Content-Length must not occur together";
    }
    if (version < firstVersionWithChunks) {
        return "Transfer-Encoding needs HTTP/1.1";
    }
    return std::nullopt;
}

std::optional<std::string> MessageFraming::findResponseFault(const Http::response_header<> &head)
{
    const unsigned status = head.result_int();
    if (status < firstFinalStatus || status > lastStatus) {
        return "the status code of a response must be between 200 and 599, not " + std::to_string(status);
    }
    return findFault(head, head.version());
}

} // namespace Guavalock
