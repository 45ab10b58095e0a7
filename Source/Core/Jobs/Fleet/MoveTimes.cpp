#include "Jobs/Fleet/MoveTimes.h"

#include <algorithm>
#include <vector>

namespace Jobs {

namespace {

    constexpr milliseconds lostAfter { 10000 }; ///< A machine that hasn't arrived within this time says nothing about moves.
    constexpr std::size_t maximumCount = 200;
    constexpr std::size_t minimumCount = 10; ///< Fewer moves don't replace the assumed time.
    constexpr double usualShare = 0.9; ///< Of moves that are complete within the usual time.

} // namespace

MoveTimes::MoveTimes(milliseconds assumed)
    : m_assumed(assumed)
{
}

void MoveTimes::onOrdered(const std::string& machine, const std::string& pool, Instant now)
{
    m_moves[machine] = { pool, now };
}

void MoveTimes::onFailed(const std::string& machine)
{
    m_moves.erase(machine);
}

void MoveTimes::onPause()
{
    m_moves.clear();
}

void MoveTimes::observe(const std::map<std::string, MachineView>& machines, Instant now)
{
    std::erase_if(m_moves, [&](const auto& it) {
        const auto& [name, move] = it;
        const auto elapsed = std::chrono::duration_cast<milliseconds>(now - move.orderedAt);
        const auto machine = machines.find(name);
        if (machine == machines.end() || machine->second.machine.state == Machine::State::Down || elapsed > lostAfter)
            return true;
        const auto& view = machine->second;
        if (view.machine.pool != move.pool || !(view.isOff || view.load))
            return false;
        if (!view.isOff)
            m_latest.push_back(elapsed);
        return true;
    });
    while (m_latest.size() > maximumCount)
        m_latest.pop_front();
}

milliseconds MoveTimes::usual() const
{
    if (m_latest.size() < minimumCount)
        return m_assumed;
    std::vector<milliseconds> sorted(m_latest.begin(), m_latest.end());
    const auto place = sorted.begin() + static_cast<std::ptrdiff_t>(usualShare * static_cast<double>(sorted.size()));
    std::ranges::nth_element(sorted, place);
    return *place;
}

} // namespace Jobs
