#pragma once

#include <array>

namespace Guavalock
{

/// The keyed topics of the platform's store that the fleet follows.
enum class Topic : unsigned char {
    Operator, ///< Configuration and evacuations.
    Targets, ///< What targets say of themselves.
    Members, ///< The daemons' own records.
};

inline constexpr std::array allTopics{Topic::Operator, Topic::Targets, Topic::Members};

/// Returns the topic's name in logs and metrics.
constexpr const char *topicName(Topic topic)
{
    constexpr std::array names{"operator", "targets", "members"};
    return names[static_cast<unsigned char>(topic)];
}

} // namespace Guavalock
