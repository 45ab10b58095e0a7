#pragma once

/// Limit of texts in frames and records.

#include <cstddef>

namespace Messages {

/// Longest name, key or content type in a frame. Bodies are limited only by the size of the frame.
constexpr std::size_t maximumTextBytes = std::size_t { 64 } << 10;

} // namespace Messages
