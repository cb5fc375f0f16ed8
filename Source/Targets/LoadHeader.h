#pragma once

#include "Decisions/LoadReport.h"

#include <optional>
#include <string>
#include <string_view>

namespace Guavalock
{

/// The load report in the form of a header, as in `incarnation=7f; state=warm; running=3; waiting=0`.
class LoadHeader
{
public:
    static constexpr const char *name = "X-Load";

    /// Returns nothing when the incarnation or the state is missing or the state is not known.
    static std::optional<LoadReport> parse(std::string_view text);

    static std::string write(const LoadReport &report);
};

} // namespace Guavalock
