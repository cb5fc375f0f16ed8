#pragma once

namespace Guavalock
{

/// A token bucket that limits retries to a fraction of successful calls, so that retries cannot amplify the load on a failing pool.
class RetryBudget
{
public:
    /// Adds tokensPerSuccess tokens, up to the capacity.
    void recordSuccess();

    bool hasToken() const;

    /// Takes one token. Call only when hasToken() returns true.
    void takeToken();

    double tokens() const;

private:
    static constexpr double capacity = 50.0; ///< In tokens.
    static constexpr double tokensPerSuccess = 0.2; ///< Tokens added by one successful call.

    double m_tokens = capacity;
};

} // namespace Guavalock
