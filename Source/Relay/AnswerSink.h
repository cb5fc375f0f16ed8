#pragma once

#include "Kernel/Refusal.h"
#include "Relay/AnswerHead.h"

#include <boost/asio/awaitable.hpp>

#include <string>

namespace Guavalock
{

/// Takes the answer of one opaque request to its caller. Members return false when the caller is gone.
class AnswerSink
{
public:
    virtual ~AnswerSink() = default;

    /// Gives a whole answer.
    virtual boost::asio::awaitable<bool> whole(const AnswerHead &head, const std::string &body) = 0;

    /// Begins an answer whose length is not known yet.
    virtual boost::asio::awaitable<bool> begin(const AnswerHead &head) = 0;
    virtual boost::asio::awaitable<bool> part(const std::string &data) = 0;
    virtual boost::asio::awaitable<bool> end() = 0;

    virtual boost::asio::awaitable<bool> refuse(const Refusal &refusal) = 0;

    /// Ends an answer that cannot be completed, so that it does not look whole.
    virtual void cut() = 0;
};

} // namespace Guavalock
