#pragma once

/// JSON as it is stored and sent: compact output, strict parsing. Thread-safe.

#include <json/value.h>

#include <optional>
#include <string>
#include <string_view>

namespace Common {

/// Serializes a value to one line without white space or a trailing newline. Equal values give equal text.
std::string compactJson(const Json::Value&);

/// Parses a JSON object in jsoncpp's strict mode; nullopt when the text is malformed or not exactly one object.
std::optional<Json::Value> parseJsonObject(std::string_view text);

} // namespace Common
