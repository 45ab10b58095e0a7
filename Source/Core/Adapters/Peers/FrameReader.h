#pragma once

/// Cuts a byte stream into frames. Each frame is preceded by its length: four bytes, most significant first.

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Adapters {

constexpr std::size_t framePrefixBytes = 4;

/// The length prefix of a frame of that size.
std::array<char, framePrefixBytes> framePrefix(std::size_t frameBytes);

/// Holds at most one unfinished frame; memory grows with the bytes received, not with the length announced.
class FrameReader {
public:
    explicit FrameReader(std::size_t maximumFrameBytes)
        : m_maximumFrameBytes(maximumFrameBytes)
    {
    }

    /// Appends the frames that these bytes complete. False when a frame is announced that is too large:
    /// the stream is then useless.
    bool read(std::string_view bytes, std::vector<std::string>& frames);

private:
    std::size_t m_maximumFrameBytes;
    std::size_t m_prefixRead = 0;
    std::uint32_t m_frameBytes = 0;
    std::string m_frame;
};

} // namespace Adapters
