#include "Messages/Codec.h"

#include "Messages/Fields.h"
#include "Messages/FlatCodec.h"

#include <array>
#include <utility>

namespace Messages {

namespace {

    using Kind = CodecError::Kind;

    constexpr std::size_t headerBytes = 2;

    const char* describe(Kind kind)
    {
        switch (kind) {
        case Kind::TooLarge:
            return "peer frame is too large";
        case Kind::UnknownVersion:
            return "peer frame has an unknown version";
        case Kind::UnknownMessage:
            return "peer frame has an unknown message number";
        case Kind::Malformed:
            return "peer frame is malformed";
        case Kind::WrongField:
            return "peer frame has a missing, surplus or invalid field";
        }
        return "peer frame can't be decoded";
    }

    using Decoded = Common::Result<PeerMessage, CodecError>;
    using Decoder = Decoded (*)(const std::vector<Token>&);

    template<std::size_t index>
    Decoded decodeFields(const std::vector<Token>& tokens)
    {
        PeerMessage message { std::in_place_index<index> };
        FieldReader reader(tokens);
        visitFields(reader, std::get<index>(message));
        if (!reader.isFullyRead())
            return CodecError(Kind::WrongField);
        return message;
    }

    template<std::size_t... indexes>
    constexpr std::array<Decoder, sizeof...(indexes)> makeDecoders(std::index_sequence<indexes...>)
    {
        return { &decodeFields<indexes>... };
    }

    constexpr auto decoders = makeDecoders(std::make_index_sequence<std::variant_size_v<PeerMessage>> {});

    Decoded decodeChecked(std::string_view frame)
    {
        if (frame.size() > maximumFrameBytes)
            return CodecError(Kind::TooLarge);
        if (frame.size() < headerBytes)
            return CodecError(Kind::Malformed);
        if (static_cast<std::uint8_t>(frame[0]) != frameVersion)
            return CodecError(Kind::UnknownVersion);
        const auto number = static_cast<std::uint8_t>(frame[1]);
        if (number >= decoders.size())
            return CodecError(Kind::UnknownMessage);

        frame.remove_prefix(headerBytes);
        TokenCollector collector(frame.size());
        std::size_t offset = 0;
        if (!collectTokens(frame, offset, collector) || offset != frame.size())
            return CodecError(Kind::Malformed);
        return decoders[number](collector.tokens());
    }

} // namespace

CodecError::CodecError(Kind kind)
    : Error(describe(kind))
    , m_kind(kind)
{
}

std::string encode(const PeerMessage& message)
{
    std::string frame { static_cast<char>(frameVersion), static_cast<char>(message.index()) };
    std::visit([&frame](const auto& fields) { packFields(frame, fields); }, message);
    return frame;
}

Common::Result<PeerMessage, CodecError> decode(std::string_view frame)
{
    try {
        return decodeChecked(frame);
    } catch (const std::exception&) {
        return CodecError(Kind::Malformed);
    }
}

} // namespace Messages
