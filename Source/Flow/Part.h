#pragma once

#include <cstddef>
#include <string>

namespace Guavalock
{

/// One token of a generated answer.
struct Part {
    std::size_t position = 0; ///< Counted from zero.
    std::string text;
};

} // namespace Guavalock
