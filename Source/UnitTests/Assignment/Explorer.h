#pragma once

/// Breadth-first search of all states that a scenario can reach.

#include "Assignment/OnePoolModel.h"

#include <cstddef>
#include <string>
#include <vector>

namespace OnePool {

/// Result of a search.
struct Exploration {
    std::size_t states = 0; ///< Distinct states that were visited.
    bool exhausted = false; ///< Every reachable state was visited.
    bool moveCompleted = false; ///< In some state, an upstream belongs to another pool than at the start.
    std::string violation; ///< Violation in the first faulty state; empty if there is none.
    std::vector<std::string> trace; ///< Shortest sequence of events that leads to the faulty state.
};

/// Searches until a violation is found, all states are visited, or `maximumStates` is reached.
Exploration explore(const Scenario&, std::size_t maximumStates);

} // namespace OnePool
