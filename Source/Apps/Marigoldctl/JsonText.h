#pragma once

/// Converts results to JSON for scripts (--output json) and times to text. Scripts rely on the field names.

#include "ApiTypes.h"
#include "Objects/Diff.h"
#include "Objects/ObjectError.h"

#include <json/value.h>
#include <string>
#include <vector>

namespace Ctl {

Json::Value toJson(const std::vector<std::string>&);
Json::Value toJson(const std::vector<Objects::ObjectChange>&);
Json::Value toJson(const std::vector<Objects::ObjectError>&);
Json::Value toJson(const FleetStatus&);
Json::Value toJson(const std::vector<UpstreamAssignment>&);
Json::Value toJson(const std::vector<AuditEntry>&);
Json::Value toJson(const std::vector<WaveStatus>&);

/// Formats a value as indented JSON that ends with a line feed.
std::string jsonText(const Json::Value&);

/// Formats a time as UTC to the second, such as "2026-01-31T06:30:00Z"; "unknown" if it can't be formatted.
std::string timeText(Common::WallTime);

} // namespace Ctl
