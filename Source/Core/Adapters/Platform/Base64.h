#pragma once

/// Base64 coding for etcd's JSON mapping.

#include <optional>
#include <string>
#include <string_view>

namespace Adapters {

/// Encodes with the standard alphabet and padding.
std::string encodeBase64(std::string_view bytes);

/// Returns nullopt if the text isn't base64 with the standard alphabet and padding.
std::optional<std::string> decodeBase64(std::string_view text);

} // namespace Adapters
