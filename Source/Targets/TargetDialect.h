#pragma once

#include "Kernel/Reason.h"

#include <boost/json/object.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace Guavalock
{

struct StreamEvent;
struct TargetCall;

/// Encodes requests to, and decodes responses from, one kind of target over HTTP.
class TargetDialect
{
public:
    static constexpr const char *pluginKind = "dialect";

    virtual ~TargetDialect() = default;

    virtual std::string path(const TargetCall &call) const = 0;
    virtual std::string body(const TargetCall &call) const = 0;

    /// Returns whether responses are streams of server-sent events.
    virtual bool streams() const;

    /// Parses a complete response into the output of the stage, or returns nothing with a reason.
    virtual std::optional<boost::json::object> parseResponse(std::string_view body, Reason &reason) const = 0;

    /// Parses the data of one server-sent event of an attempt, or returns nothing with a reason.
    virtual std::optional<StreamEvent> parseEvent(std::string_view data, std::string_view attemptId, Reason &reason) const;
};

} // namespace Guavalock
