#include "Adapters/Peers/FrameReader.h"

#include <algorithm>
#include <utility>

namespace Adapters {

namespace {

    constexpr unsigned bitsPerByte = 8;

} // namespace

std::array<char, framePrefixBytes> framePrefix(std::size_t frameBytes)
{
    std::array<char, framePrefixBytes> prefix {};
    for (std::size_t n = framePrefixBytes; n > 0; --n) {
        prefix[n - 1] = static_cast<char>(frameBytes & 0xff);
        frameBytes >>= bitsPerByte;
    }
    return prefix;
}

bool FrameReader::read(std::string_view bytes, std::vector<std::string>& frames)
{
    while (!bytes.empty()) {
        if (m_prefixRead < framePrefixBytes) {
            m_frameBytes = (m_frameBytes << bitsPerByte) | static_cast<std::uint8_t>(bytes.front());
            bytes.remove_prefix(1);
            if (++m_prefixRead < framePrefixBytes)
                continue;
            if (m_frameBytes > m_maximumFrameBytes)
                return false;
        }
        const auto taken = std::min<std::size_t>(bytes.size(), m_frameBytes - m_frame.size());
        m_frame.append(bytes.substr(0, taken));
        bytes.remove_prefix(taken);
        if (m_frame.size() < m_frameBytes)
            continue;
        frames.push_back(std::exchange(m_frame, {}));
        m_prefixRead = 0;
        m_frameBytes = 0;
    }
    return true;
}

} // namespace Adapters
