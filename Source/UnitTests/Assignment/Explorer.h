#pragma once

/// Breadth-first search over all worlds that a scenario can reach.

#include "Assignment/OnePoolModel.h"

#include <cstddef>
#include <string>
#include <vector>

namespace OnePool {

/// What the search found.
struct Exploration {
    std::size_t states = 0;
    bool exhausted = false; ///< Every reachable state was visited.
    bool moveCompleted = false; ///< Some state has an upstream Serving another pool than at first.
    std::string violation; ///< Of the first faulty state; empty for none.
    std::vector<std::string> trace; ///< Shortest way to it.
};

/// Searches until a violation, the end, or `maximumStates`.
Exploration explore(const Scenario&, std::size_t maximumStates);

} // namespace OnePool
