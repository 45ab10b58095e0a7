#pragma once

/// When a refused caller should come back. Designed for outages of the store and of owners that last for seconds while a peak goes on:
/// callers who all return after the same second use up their attempts before the outage ends, and then come in waves.

#include <chrono>
#include <string_view>

namespace Jobs {

/// An outage that has lasted for some time is taken to last as long again. The result lies between `minimum` and a maximum of 4 s, plus
/// up to half of that, by the caller's id, so that returns spread out.
std::chrono::milliseconds returnTimeOf(std::chrono::milliseconds outage, std::chrono::milliseconds minimum, std::string_view id);

} // namespace Jobs
