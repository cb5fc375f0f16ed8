#pragma once

#include <atomic>
#include <cstddef>

namespace Guavalock
{

/// Limits the memory that all responses together occupy while they are read, so that endless responses cannot exhaust it. Thread-safe.
///
/// Each response may occupy `freeBytes` in any case, so that ordinary responses are read while large ones use up the budget.
class BufferBudget
{
public:
    static constexpr std::size_t freeBytes = 64 * 1024; ///< Far above an ordinary response.
    static constexpr std::size_t totalBytes = 24 * 1024 * 1024; ///< A fifth of the memory of the smallest VM.

    /// The bytes that one response occupies. The destructor returns them to the budget.
    class Share
    {
    public:
        explicit Share(BufferBudget &budget);
        ~Share();

        Share(const Share &) = delete;
        Share &operator=(const Share &) = delete;

        /// Returns false if the response may not occupy that many bytes.
        bool grow(std::size_t bytes);

    private:
        BufferBudget &m_budget;
        std::size_t m_taken = 0;
    };

private:
    std::atomic<std::size_t> m_taken{0};
};

} // namespace Guavalock
