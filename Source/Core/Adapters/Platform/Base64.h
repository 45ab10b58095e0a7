#pragma once

/// Base64 as the JSON mapping of etcd uses it.

#include <optional>
#include <string>
#include <string_view>

namespace Adapters {

/// Standard alphabet, padded.
std::string encodeBase64(std::string_view bytes);

/// Nothing when the text isn't padded standard base64.
std::optional<std::string> decodeBase64(std::string_view text);

} // namespace Adapters
