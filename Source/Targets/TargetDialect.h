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

/// The shape in which one kind of target takes calls and answers, over HTTP.
class TargetDialect
{
public:
    static constexpr const char *pluginKind = "dialect";

    virtual ~TargetDialect() = default;

    virtual std::string path(const TargetCall &call) const = 0;
    virtual std::string body(const TargetCall &call) const = 0;

    /// Returns whether answers come as server-sent events.
    virtual bool streams() const;

    /// Reads a whole answer into the stage's output, or returns nothing with a reason.
    virtual std::optional<boost::json::object> answer(std::string_view body, Reason &reason) const = 0;

    /// Reads the data of one server-sent event of an attempt, or returns nothing with a reason.
    virtual std::optional<StreamEvent> event(std::string_view data, std::string_view attemptId, Reason &reason) const;
};

} // namespace Guavalock
