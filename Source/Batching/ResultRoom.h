#pragma once

#include "Kernel/Clock.h"

#include <cstdint>
#include <map>
#include <string>

namespace Guavalock
{

/// The room that results take at one target, as far as this daemon has asked for them.
class ResultRoom
{
public:
    /// Returns what is left of the target's room, in bytes.
    std::uint64_t left(std::uint64_t room, Clock::TimePoint now);

    void add(const std::string &handle, std::uint64_t bytes, Clock::TimePoint until);
    void free(const std::string &handle);

    /// The target had no room although some was thought to be left when its call began: other results lie there, or larger ones.
    ///
    /// Until a time, that many bytes more count as taken.
    void lacked(std::uint64_t bytes, Clock::TimePoint now, Clock::TimePoint until);

private:
    struct Held {
        std::uint64_t bytes = 0;
        Clock::TimePoint until;
    };

    std::map<std::string, Held> m_held;
    std::uint64_t m_bytes = 0;
    std::uint64_t m_foreignBytes = 0; ///< Taken beyond what this daemon knows of, until m_foreignUntil.
    Clock::TimePoint m_foreignUntil;
};

} // namespace Guavalock
