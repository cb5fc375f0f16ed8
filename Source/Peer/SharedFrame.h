#pragma once

#include <cstdint>
#include <memory>
#include <vector>

namespace Guavalock
{

/// An encoded frame, including its length prefix, that is stored once for all its receivers.
using SharedFrame = std::shared_ptr<const std::vector<std::uint8_t>>;

} // namespace Guavalock
