#pragma once

namespace Guavalock
{

/// Tokens that limit retries to a share of successes, so that retries cannot multiply the load of a failing pool.
class RetryBudget
{
public:
    /// Adds the part of a token that one success earns.
    void succeeded();

    bool available() const;

    /// Takes one token. Only call when available.
    void spend();

    double tokens() const;

private:
    static constexpr double capacity = 50.0;
    static constexpr double earnedBySuccess = 0.2;

    double m_tokens = capacity;
};

} // namespace Guavalock
