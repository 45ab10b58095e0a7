#pragma once

/// Counts the heap memory in use by this program; the counting operators replace the library's.

#include <cstddef>

namespace Slopes {

/// Heap bytes that are allocated and not yet freed through operator new, rounded as the C library rounds them.
std::size_t heapInUse();

} // namespace Slopes
