#pragma once

#include <atomic>
#include <cstdint>

namespace Guavalock
{

/// A monotonically increasing counter. Thread-safe and lock-free.
class Counter
{
public:
    void add(std::uint64_t n = 1)
    {
        m_value.fetch_add(n, std::memory_order_relaxed);
    }

    std::uint64_t value() const
    {
        return m_value.load(std::memory_order_relaxed);
    }

private:
    std::atomic<std::uint64_t> m_value = 0;
};

} // namespace Guavalock
