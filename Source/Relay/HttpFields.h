#pragma once

#include <string>
#include <utility>
#include <vector>

namespace Guavalock
{

/// Header names and values, in order.
using HttpFields = std::vector<std::pair<std::string, std::string>>;

} // namespace Guavalock
