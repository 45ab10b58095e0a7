#include "Jobs/Decision/FirstAttempts.h"

#include <utility>

namespace Jobs {

namespace {

    using std::chrono::milliseconds;

    constexpr milliseconds period { 5000 }; ///< Callers repeat an attempt within a few seconds.

} // namespace

void FirstAttempts::rotate(Common::Instant now)
{
    if (now - m_periodBegan < period)
        return;
    m_previous = now - m_periodBegan < 2 * period ? std::exchange(m_current, {}) : Times();
    m_current.clear();
    m_periodBegan = now;
}

void FirstAttempts::noteRefused(const JobId& job, Common::Instant now)
{
    rotate(now);
    if (m_current.contains(job) || m_current.size() >= maximumIds / 2)
        return;
    const auto known = m_previous.find(job);
    m_current.emplace(job, known == m_previous.end() ? now : known->second);
}

milliseconds FirstAttempts::age(const JobId& job, Common::Instant now)
{
    rotate(now);
    for (const auto* times : { &m_current, &m_previous }) {
        if (const auto it = times->find(job); it != times->end())
            return std::chrono::duration_cast<milliseconds>(now - it->second);
    }
    return milliseconds(0);
}

} // namespace Jobs
