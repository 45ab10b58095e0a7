#pragma once

/// JSON helpers of the stand-ins.

#include "Standins/HttpServer.h"

#include <json/json.h>
#include <optional>
#include <string>

namespace Standins {

/// Nothing when the text isn't a JSON object.
std::optional<Json::Value> parseJsonObject(const std::string&);

/// A response with a JSON body.
Response jsonResponse(const Json::Value&, int status = 200);

/// An integer given as a JSON number or, as in etcd's JSON mapping, as a string; the fallback for anything else.
std::int64_t jsonNumber(const Json::Value&, std::int64_t fallback = 0);

} // namespace Standins
