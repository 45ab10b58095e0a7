#pragma once

/// Bound of texts in frames and records.

#include <cstddef>

namespace Messages {

/// Longest name, key or content type in a frame; bodies are bounded by the frame only.
constexpr std::size_t maximumTextBytes = std::size_t { 64 } << 10;

} // namespace Messages
