#pragma once

/// Virtual time and seeded random numbers for schedules of faults.

#include "Common/Time.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <utility>

namespace Testing {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Runs events in the order of their time; those of equal time in the order in which they were scheduled.
class Simulation {
public:
    explicit Simulation(std::uint64_t seed)
        : m_random(seed)
    {
    }

    Common::Instant now() const { return m_now; }
    void after(std::chrono::microseconds delay, std::function<void()> event) { m_events.emplace(m_now + delay, std::move(event)); }
    void runFor(std::chrono::microseconds length)
    {
        const auto end = m_now + length;
        while (!m_events.empty() && m_events.begin()->first <= end) {
            auto event = m_events.extract(m_events.begin());
            m_now = event.key();
            event.mapped()();
        }
        m_now = end;
    }
    /// Uniform from 0 to limit - 1.
    std::uint64_t below(std::uint64_t limit) { return m_random() % limit; }
    bool chance(unsigned percent) { return below(100) < percent; }
    milliseconds between(milliseconds low, milliseconds high) { return low + milliseconds(below((high - low).count() + 1)); }
    /// A random incarnation; never zero.
    std::uint64_t incarnation() { return m_random() | 1; }

private:
    Common::Instant m_now { seconds(1000) };
    std::multimap<Common::Instant, std::function<void()>> m_events;
    std::mt19937_64 m_random;
};

} // namespace Testing
