#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace Guavalock
{

/// One change to the configuration tree, as recorded in the log.
struct ConfigurationRecord {
    std::string id; ///< Unique to the log append, so that its outcome can be read back.
    std::string path;
    std::uint64_t expectedVersion = 0; ///< Version of the path's subtree; zero when it must not exist yet.
    std::optional<std::string> value; ///< YAML text; empty to remove the document.
    std::string author;
};

} // namespace Guavalock
