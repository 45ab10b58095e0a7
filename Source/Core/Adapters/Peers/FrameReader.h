#pragma once

/// Splits a byte stream into frames. Each frame is preceded by its length: four bytes, most significant byte first.

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Adapters {

/// Size of the length prefix.
constexpr std::size_t framePrefixBytes = 4;

/// Returns the length prefix of a frame of that size.
std::array<char, framePrefixBytes> framePrefix(std::size_t frameBytes);

/// Buffers at most one incomplete frame. Memory use grows with the bytes received, not with the announced length.
class FrameReader {
public:
    explicit FrameReader(std::size_t maximumFrameBytes)
        : m_maximumFrameBytes(maximumFrameBytes)
    {
    }

    /// Appends the frames that these bytes complete. Returns false if a frame above the maximum is announced; the connection
    /// must then be closed.
    bool read(std::string_view bytes, std::vector<std::string>& frames);

private:
    std::size_t m_maximumFrameBytes;
    std::size_t m_prefixRead = 0;
    std::uint32_t m_frameBytes = 0;
    std::string m_frame;
};

} // namespace Adapters
