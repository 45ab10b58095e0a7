#pragma once

/// Turns peer messages into frames and back. A frame is a version byte, a message number (position in PeerMessage)
/// and one flat msgpack array with the message's fields in order; a list is its length followed by its items.

#include "Common/Error.h"
#include "Common/Result.h"
#include "Messages/PeerMessages.h"
#include "Messages/TextLimit.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace Messages {

/// First byte of every frame; another value is refused.
constexpr std::uint8_t frameVersion = 1;
/// Longest frame that is decoded.
constexpr std::size_t maximumFrameBytes = std::size_t { 16 } << 20;

/// A frame that can't be read.
class CodecError : public Common::Error {
public:
    /// What was wrong with the frame.
    enum class Kind {
        TooLarge,
        UnknownVersion,
        UnknownMessage,
        Malformed, ///< Not msgpack, cut short, or more than one flat array.
        WrongField, ///< A field of another type, out of range, missing or left over.
    };

    explicit CodecError(Kind);
    Kind kind() const { return m_kind; }

private:
    Kind m_kind;
};

/// Frame of a message. A text longer than maximumTextBytes makes a frame that decode() refuses.
std::string encode(const PeerMessage&);

/// Message of a frame. Never throws; working memory stays within 16 bytes a byte of the frame, beside the message itself.
Common::Result<PeerMessage, CodecError> decode(std::string_view frame);

} // namespace Messages
