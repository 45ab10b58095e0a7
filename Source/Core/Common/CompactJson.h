#pragma once

/// JSON text as it is stored and sent: compact to write, strict to read.

#include <json/value.h>

#include <optional>
#include <string>
#include <string_view>

namespace Common {

/// One line of JSON without white space and without an end of line; equal values give equal text.
std::string compactJson(const Json::Value&);

/// The object in the text; nothing when the text isn't one JSON object in strict mode.
std::optional<Json::Value> parseJsonObject(std::string_view text);

} // namespace Common
