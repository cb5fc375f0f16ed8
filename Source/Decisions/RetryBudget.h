#pragma once

namespace Guavalock
{

/// A token bucket that limits retries to a fraction of successful calls, so that retries cannot amplify the load on a failing pool.
class RetryBudget
{
public:
    /// Adds the fraction of a token that one success earns.
    void recordSuccess();

    bool hasToken() const;

    /// Takes one token. Call only when hasToken() returns true.
    void takeToken();

    double tokens() const;

private:
    static constexpr double capacity = 50.0;
    static constexpr double tokensPerSuccess = 0.2;

    double m_tokens = capacity;
};

} // namespace Guavalock
