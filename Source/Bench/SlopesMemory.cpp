#include "SlopesMemory.h"

#include <atomic>
#include <cstdlib>
#include <cstring>
#include <new>

namespace {

constexpr std::size_t headerBytes = 16; ///< Stores the length and keeps the alignment.
// glibc's malloc: header, alignment and smallest size of a chunk, in bytes.
constexpr std::size_t chunkHeader = 8;
constexpr std::size_t chunkAlignment = 16;
constexpr std::size_t smallestChunk = 32;

std::atomic<std::size_t> allocatedBytes { 0 };

/// Heap bytes that an allocation of that size takes. Computed, because the size that the allocator reports depends on
/// what was freed before.
std::size_t chunkBytes(std::size_t size)
{
    const auto chunk = (size + chunkHeader + chunkAlignment - 1) / chunkAlignment * chunkAlignment;
    return chunk < smallestChunk ? smallestChunk : chunk;
}

void* allocate(std::size_t size)
{
    auto* memory = static_cast<char*>(std::malloc(size + headerBytes));
    if (!memory)
        throw std::bad_alloc();
    std::memcpy(memory, &size, sizeof size);
    allocatedBytes += chunkBytes(size);
    return memory + headerBytes;
}

void release(void* memory)
{
    if (!memory)
        return;
    char* begin = static_cast<char*>(memory) - headerBytes;
    std::size_t size = 0;
    std::memcpy(&size, begin, sizeof size);
    allocatedBytes -= chunkBytes(size);
    std::free(begin);
}

} // namespace

void* operator new(std::size_t size)
{
    return allocate(size);
}

void* operator new[](std::size_t size)
{
    return allocate(size);
}

void operator delete(void* memory) noexcept
{
    release(memory);
}

void operator delete[](void* memory) noexcept
{
    release(memory);
}

void operator delete(void* memory, std::size_t) noexcept
{
    release(memory);
}

void operator delete[](void* memory, std::size_t) noexcept
{
    release(memory);
}

namespace Slopes {

std::size_t heapInUse()
{
    return allocatedBytes;
}

} // namespace Slopes
