#pragma once

namespace Guavalock
{

/// The part of a target's limit of requests that one daemon may use.
struct LimitShare {
    double fraction = 0; ///< Of the rate, from 0 to 1.
    double maxCredit = 0; ///< Requests that may be sent at once after a time without requests.

    bool operator==(const LimitShare &) const = default;
};

} // namespace Guavalock
