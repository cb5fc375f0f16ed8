#pragma once

#include "Kernel/Reason.h"

#include <boost/json/object.hpp>

#include <cstdint>
#include <optional>

namespace Guavalock
{

struct StageSettings;

/// Defines the input and output of one kind of pipeline stage.
///
/// The request context is a JSON object that is initialised from the caller's body. Each stage reads some fields and adds others.
class Stage
{
public:
    static constexpr const char *pluginKind = "stage";

    virtual ~Stage() = default;

    /// Builds the stage's input. Returns nothing and sets the reason when the context lacks a required field.
    virtual std::optional<boost::json::object> input(const boost::json::object &context, const StageSettings &settings,
                                                     Reason &reason) const = 0;

    /// Merges a target's output into the context. Returns false and sets the reason when the output lacks a required field.
    virtual bool merge(boost::json::object &context, boost::json::object output, Reason &reason) const = 0;

    /// Returns whether the output is streamed token by token.
    virtual bool streams() const;

    /// Returns the affinity hash of a call, or zero when it has none. Calls with the same hash run faster on the same target.
    virtual std::uint64_t affinity(const boost::json::object &input) const;
};

} // namespace Guavalock
