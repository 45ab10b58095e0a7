#pragma once

/// Encodes and decodes peer messages. A frame is a version byte, a message number (the alternative's index in
/// PeerMessage) and one flat msgpack array of the message's fields in order. A list is its length followed by its items.

#include "Common/Error.h"
#include "Common/Result.h"
#include "Messages/PeerMessages.h"
#include "Messages/TextLimit.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace Messages {

/// First byte of every frame; decode() rejects any other.
constexpr std::uint8_t frameVersion = 1;
/// Longest frame that decode() accepts.
constexpr std::size_t maximumFrameBytes = std::size_t { 16 } << 20;

/// A frame that can't be decoded.
class CodecError : public Common::Error {
public:
    /// What was wrong with the frame.
    enum class Kind {
        TooLarge,
        UnknownVersion,
        UnknownMessage,
        Malformed, ///< Not msgpack, truncated, or not exactly one flat array.
        WrongField, ///< A field is missing, surplus, of another type or out of range.
    };

    explicit CodecError(Kind);
    Kind kind() const { return m_kind; }

private:
    Kind m_kind;
};

/// Encodes a message. Doesn't check text lengths: decode() rejects a frame with a text longer than maximumTextBytes.
std::string encode(const PeerMessage&);

/// Decodes a frame. Never throws. Uses at most 16 bytes of working memory per byte of the frame, not counting the message itself.
Common::Result<PeerMessage, CodecError> decode(std::string_view frame);

} // namespace Messages
