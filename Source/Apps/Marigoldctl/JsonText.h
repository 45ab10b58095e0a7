#pragma once

/// Results as JSON for scripts (--output json).

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
Json::Value toJson(const std::vector<UpstreamPlace>&);
Json::Value toJson(const std::vector<AuditEntry>&);
Json::Value toJson(const std::vector<WaveStatus>&);

/// Indented text that ends with a line feed.
std::string jsonText(const Json::Value&);

/// Civil time as "2026-01-31T06:30:00Z".
std::string timeText(Common::WallTime);

} // namespace Ctl
