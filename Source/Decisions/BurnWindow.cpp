#include "Decisions/BurnWindow.h"

#include <algorithm>

namespace Guavalock
{

namespace
{

std::int64_t bucketNumber(Clock::TimePoint now)
{
    return now.time_since_epoch() / BurnWindow::bucketLength;
}

} // namespace

void BurnWindow::add(bool met, Clock::TimePoint now)
{
    const std::int64_t number = bucketNumber(now);
    Bucket &bucket = m_buckets[static_cast<std::size_t>(number) % bucketCount];
    if (bucket.number != number) {
        bucket = {number, {}};
    }
    (met ? bucket.counts.met : bucket.counts.missed) += 1;
}

BurnWindow::Counts BurnWindow::countsOver(std::chrono::seconds length, Clock::TimePoint now) const
{
    const std::int64_t last = bucketNumber(now);
    const std::int64_t wanted = (length + bucketLength - std::chrono::seconds(1)) / bucketLength;
    const std::int64_t first = last - std::min<std::int64_t>(wanted, bucketCount) + 1;
    Counts total;
    for (const Bucket &it : m_buckets) {
        if (it.number >= first && it.number <= last) {
            total.met += it.counts.met;
            total.missed += it.counts.missed;
        }
    }
    return total;
}

} // namespace Guavalock
