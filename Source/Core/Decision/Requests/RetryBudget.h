#pragma once

/// Retry budget: retries are limited to a share of the first attempts, so that they can't amplify an overload.

#include <algorithm>

namespace Decision {

/// Token bucket that first attempts fill and retries drain. There is one per pool.
class RetryBudget {
public:
    /// `ratio` is the number of retries earned by each first attempt.
    explicit RetryBudget(double ratio)
        : m_ratio(ratio)
    {
    }

    void recordFirstAttempt() { m_tokens = std::min(maximumTokens, m_tokens + m_ratio); }

    /// Takes one retry out of the budget; false when the budget is exhausted.
    bool takeRetry()
    {
        if (m_tokens < 1)
            return false;
        m_tokens -= 1;
        return true;
    }

private:
    static constexpr double maximumTokens = 32; ///< Largest burst of retries.

    double m_ratio;
    double m_tokens = maximumTokens / 2;
};

} // namespace Decision
