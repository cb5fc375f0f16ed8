#pragma once

#include <cstddef>
#include <string>

namespace Guavalock
{

/// One token of a generated text.
struct GeneratedToken {
    std::size_t position = 0; ///< Zero-based index in the generated text.
    std::string text;
};

} // namespace Guavalock
