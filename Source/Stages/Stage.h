#pragma once

#include "Kernel/Reason.h"

#include <boost/json/object.hpp>

#include <cstdint>
#include <optional>

namespace Guavalock
{

struct StageSettings;

/// What one kind of stage takes from the request so far and what it adds.
///
/// The context is a JSON object that starts as the caller's body; each stage reads some fields and adds others.
class Stage
{
public:
    static constexpr const char *pluginKind = "stage";

    virtual ~Stage() = default;

    /// Returns the stage's input, or nothing with a reason when the context lacks a field it needs.
    virtual std::optional<boost::json::object> input(const boost::json::object &context, const StageSettings &settings,
                                                     Reason &reason) const = 0;

    /// Adds the output of a target to the context. Returns false with a reason when the output lacks a field.
    virtual bool merge(boost::json::object &context, boost::json::object output, Reason &reason) const = 0;

    /// Returns whether the output comes as a stream of parts.
    virtual bool streams() const;

    /// Returns a hash that calls share when a target that served one serves another faster; zero for none.
    virtual std::uint64_t affinity(const boost::json::object &input) const;
};

} // namespace Guavalock
