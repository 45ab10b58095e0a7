#include "Jobs/Decision/AdviceQueue.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace Jobs {

namespace {

    constexpr milliseconds initialDelay { 200 };
    constexpr unsigned maximumDoublings = 5;

} // namespace

void AdviceQueue::add(AdviceRequest request) { m_waiting.push_back({ std::move(request) }); }

std::optional<AdviceRequest> AdviceQueue::next(Common::Instant now)
{
    const auto due = std::ranges::find_if(m_waiting, [now](const auto& it) { return it.dueAt <= now; });
    if (m_inFlight || due == m_waiting.end())
        return std::nullopt;
    m_inFlight = std::move(*due);
    m_waiting.erase(due);
    return m_inFlight->request;
}

void AdviceQueue::onAnswered() { m_inFlight.reset(); }

void AdviceQueue::onFailed(Common::Instant now)
{
    if (!m_inFlight)
        return;
    m_inFlight->dueAt = now + initialDelay * (1 << std::min(m_inFlight->failures++, maximumDoublings));
    m_waiting.push_back(std::move(*m_inFlight));
    m_inFlight.reset();
}

std::optional<Common::Instant> AdviceQueue::nextAt() const
{
    if (m_inFlight || m_waiting.empty())
        return std::nullopt;
    return std::ranges::min_element(m_waiting, {}, &Entry::dueAt)->dueAt;
}

} // namespace Jobs
