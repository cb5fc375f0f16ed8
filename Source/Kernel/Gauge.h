#pragma once

#include <atomic>
#include <cstdint>

namespace Guavalock
{

/// A value that rises and falls. Thread-safe and lock-free.
class Gauge
{
public:
    void set(std::uint64_t value)
    {
        m_value.store(value, std::memory_order_relaxed);
    }

    std::uint64_t value() const
    {
        return m_value.load(std::memory_order_relaxed);
    }

private:
    std::atomic<std::uint64_t> m_value = 0;
};

} // namespace Guavalock
