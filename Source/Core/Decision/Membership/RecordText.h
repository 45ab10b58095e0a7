#pragma once

/// JSON text of the records that the cores keep in the store.

#include <json/value.h>

#include <optional>
#include <string>
#include <string_view>

namespace Decision {

/// One line of JSON without white space; equal values give equal text.
std::string recordText(const Json::Value&);

/// The object in the text; nothing when it isn't a JSON object.
std::optional<Json::Value> parseRecord(std::string_view text);

} // namespace Decision
