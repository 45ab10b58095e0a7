#pragma once

/// Budget of retries: a share of the first attempts, so that retries can't multiply an overload.

#include <algorithm>

namespace Decision {

/// Token bucket filled by first attempts and emptied by retries.
class RetryBudget {
public:
    explicit RetryBudget(double ratio)
        : m_ratio(ratio)
    {
    }

    void firstAttempt() { m_tokens = std::min(maximumTokens, m_tokens + m_ratio); }

    /// Takes a retry out of the budget; false when it is spent.
    bool takeRetry()
    {
        if (m_tokens < 1)
            return false;
        m_tokens -= 1;
        return true;
    }

private:
    static constexpr double maximumTokens = 32; ///< Retries that may come in a burst.

    double m_ratio;
    double m_tokens = maximumTokens / 2;
};

} // namespace Decision
