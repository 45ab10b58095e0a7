#pragma once

/// Counts the heap memory in use. SlopesMemory.cpp replaces the global operators new and delete of the program.

#include <cstddef>

namespace Slopes {

/// Bytes allocated with operator new and not yet freed, rounded up as the C library does. Safe on any thread.
std::size_t heapInUse();

} // namespace Slopes
