#pragma once

#include "Decisions/LoadReport.h"

#include <optional>
#include <string>
#include <string_view>

namespace Guavalock
{

/// Reads and writes load reports as HTTP header values, for example `incarnation=7f; state=warm; running=3; waiting=0`.
class LoadHeader
{
public:
    static constexpr const char *name = "X-Load";

    /// Returns nothing if the incarnation or the state is missing, or if the state is unknown.
    static std::optional<LoadReport> parse(std::string_view text);

    static std::string write(const LoadReport &report);
};

} // namespace Guavalock
