#include "Adapters/Platform/Base64.h"

#include <openssl/evp.h>

namespace Adapters {

namespace {

    constexpr std::size_t plainGroupBytes = 3;
    constexpr std::size_t codedGroupBytes = 4;
    constexpr std::string_view alphabet = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

    std::size_t paddingOf(std::string_view text)
    {
        if (text.ends_with("=="))
            return 2;
        return text.ends_with('=') ? 1 : 0;
    }

} // namespace

std::string encodeBase64(std::string_view bytes)
{
    // libcrypto appends a terminating zero.
    std::string text((bytes.size() + plainGroupBytes - 1) / plainGroupBytes * codedGroupBytes + 1, '\0');
    const int n = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
        reinterpret_cast<const unsigned char*>(bytes.data()), static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(n));
    return text;
}

std::optional<std::string> decodeBase64(std::string_view text)
{
    if (text.empty())
        return std::string();
    if (text.size() % codedGroupBytes)
        return std::nullopt;
    // libcrypto skips surrounding white space, after which shifted groups would decode to wrong bytes.
    const std::size_t padding = paddingOf(text);
    if (text.substr(0, text.size() - padding).find_first_not_of(alphabet) != std::string_view::npos)
        return std::nullopt;
    std::string bytes(text.size() / codedGroupBytes * plainGroupBytes, '\0');
    const int n = EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
        reinterpret_cast<const unsigned char*>(text.data()), static_cast<int>(text.size()));
    if (n < 0)
        return std::nullopt;
    bytes.resize(static_cast<std::size_t>(n) - padding);
    return bytes;
}

} // namespace Adapters
