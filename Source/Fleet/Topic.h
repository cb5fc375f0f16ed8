#pragma once

#include <array>

namespace Guavalock
{

/// The keyed topics of the record store that the daemons read.
enum class Topic : unsigned char {
    Operator, ///< Configuration and evacuations.
    Targets, ///< State published by the targets.
    Members, ///< Records of the daemons.
};

inline constexpr std::array allTopics{Topic::Operator, Topic::Targets, Topic::Members};

/// Returns the name of a topic in logs and metrics.
constexpr const char *topicName(Topic topic)
{
    constexpr std::array names{"operator", "targets", "members"};
    return names[static_cast<unsigned char>(topic)];
}

} // namespace Guavalock
