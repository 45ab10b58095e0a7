#include "Standins/LoadPlan.h"

#include <array>
#include <cinttypes>
#include <cstdio>

namespace Standins {

using std::chrono::microseconds;

namespace {

    constexpr double steadyLengthFactor = 2; ///< Length of the steady phase, as a multiple of the peak's.
    constexpr double troughFactor = 0.05; ///< Rate of the trough, as a fraction of the mean rate.

    /// Lengths of the phases of a cycle.
    struct Cycle {
        microseconds steady { 0 };
        microseconds peak { 0 };
        microseconds trough { 0 };

        explicit Cycle(const LoadSettings& settings)
            : steady(static_cast<std::int64_t>(steadyLengthFactor * static_cast<double>(microseconds(settings.peakLength).count())))
            , peak(settings.peakLength)
            , trough(static_cast<std::int64_t>((settings.peakFactor - 1) / (1 - troughFactor) * static_cast<double>(peak.count())))
        {
        }

        microseconds length() const { return steady + peak + trough; }
    };

} // namespace

LoadPlan::LoadPlan(const LoadSettings& settings, const std::string& runTag)
    : m_settings(settings)
    , m_runTag(runTag)
    , m_random(settings.seed)
{
}

double LoadPlan::rateAt(microseconds at) const
{
    const Cycle cycle(m_settings);
    if (!cycle.length().count())
        return m_settings.rate;
    const microseconds within = at % cycle.length();
    if (within < cycle.steady)
        return m_settings.rate;
    return m_settings.rate * (within < cycle.steady + cycle.peak ? m_settings.peakFactor : troughFactor);
}

microseconds LoadPlan::phaseEnd(microseconds at) const
{
    const Cycle cycle(m_settings);
    if (!cycle.length().count())
        return microseconds::max();
    const microseconds within = at % cycle.length();
    const microseconds begin = at - within;
    if (within < cycle.steady)
        return begin + cycle.steady;
    return begin + (within < cycle.steady + cycle.peak ? cycle.steady + cycle.peak : cycle.length());
}

std::string LoadPlan::pick(const std::vector<std::string>& names)
{
    return names.empty() ? std::string() : names[m_random() % names.size()];
}

PlannedRequest LoadPlan::next()
{
    // Exponential gaps are memoryless: one that reaches into the next phase is drawn again from the start of that phase.
    while (true) {
        std::exponential_distribution<double> gap(rateAt(m_now));
        const microseconds at = m_now + std::chrono::duration_cast<microseconds>(std::chrono::duration<double>(gap(m_random)));
        const microseconds end = phaseEnd(m_now);
        m_now = std::min(at, end);
        if (at < end)
            break;
    }
    PlannedRequest request;
    request.at = m_now;
    request.service = pick(m_settings.services);
    request.team = pick(m_settings.teams);
    request.priority = pick(m_settings.priorities);
    request.idempotent = std::bernoulli_distribution(m_settings.idempotentShare)(m_random);
    request.body = "load " + m_runTag + " " + std::to_string(m_settings.seed) + " " + std::to_string(++m_count) + " ";
    while (request.body.size() < m_settings.bodyBytes)
        request.body += static_cast<char>('a' + m_random() % 26);
    return request;
}

std::string uuidV7(std::chrono::milliseconds sinceEpoch, std::mt19937_64& random)
{
    constexpr std::uint64_t version = 0x7000;
    constexpr std::uint64_t variant = 0x8000;
    const auto time = static_cast<std::uint64_t>(sinceEpoch.count());
    const std::uint64_t a = random();
    const std::uint64_t b = random();
    std::array<char, 40> text {};
    std::snprintf(text.data(), text.size(), "%08" PRIx64 "-%04" PRIx64 "-%04" PRIx64 "-%04" PRIx64 "-%012" PRIx64, time >> 16 & 0xffffffff,
        time & 0xffff, version | (a & 0x0fff), variant | (a >> 16 & 0x3fff), b & 0xffffffffffff);
    return text.data();
}

} // namespace Standins
