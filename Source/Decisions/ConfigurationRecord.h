#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace Guavalock
{

/// One change of the configuration tree, as it stands in the log.
struct ConfigurationRecord {
    std::string id; ///< Unique to the append, so that its fate can be read back.
    std::string path;
    std::uint64_t expectedVersion = 0; ///< Of the path's subtree; zero when it must not exist yet.
    std::optional<std::string> value; ///< YAML text; empty to remove the document.
    std::string author;
};

} // namespace Guavalock
