#pragma once

/// Ranges of the values that callers, operators, workers and the platform may state. They are far beyond what can be meant, and
/// narrow enough that sums and products over a whole fleet fit into 64 bits.

#include "Common/Time.h"

#include <chrono>
#include <cstdint>

namespace Jobs::ValueRanges {

/// Of one resource of a worker or a task: a million cores, a petabyte or a thousand million accelerators.
constexpr std::int64_t maximumAmount = 1'000'000'000;
/// Of any duration. The critical path of a job's 256 steps times maximumStretch still fits.
constexpr std::chrono::milliseconds maximumDuration = std::chrono::hours(24 * 365);
/// Of the latency of one answer, whose product with a target is compared.
constexpr std::chrono::milliseconds maximumLatency = std::chrono::hours(24);
/// The end of the year 9999.
constexpr Common::WallTime latestTime { std::chrono::milliseconds(253'402'300'799'999) };
/// Of a queue's stretch.
constexpr std::int64_t maximumStretch = 1000;
/// Of numbers of things that an operator may state: priorities, attempts, machines, tasks.
constexpr std::int64_t maximumCount = 1'000'000'000;
/// Of sequence numbers, versions and revisions: the largest whole number that every JSON implementation represents exactly.
constexpr std::int64_t maximumSequence = 9'007'199'254'740'991;

/// Of a total over a pool: the sum of two still fits.
constexpr std::uint64_t maximumTotal = std::uint64_t { 1 } << 62U;

} // namespace Jobs::ValueRanges
