#pragma once

/// JSON of the platform's stand-in: the server's side of the etcd v3 mapping, and the host list.

#include "Ports/PlatformPort.h"
#include "Standins/HttpServer.h"

#include <json/json.h>
#include <optional>
#include <string>
#include <vector>

namespace Standins {

constexpr int notModified = 304;

/// The header that each answer carries.
Json::Value headerOf(std::int64_t revision);
Json::Value pairJson(const Ports::KeyValue&);
/// Answer to a grant or a renewal.
Json::Value leaseJson(const Ports::PlatformReply&);
/// Line of a watch's stream with changes.
std::string watchLine(std::int64_t revision, const std::vector<Ports::WatchEvent>&);
/// Line of a watch's stream with a flag: "created" or "canceled".
std::string watchStateLine(std::int64_t revision, const char* state);
Ports::Transaction transactionOf(const Json::Value&);
/// Key or prefix of a range or a watch.
std::string prefixOf(const Json::Value&);
Response errorResponse(int status, int code, const char* message);

Json::Value hostListJson(const std::vector<Ports::ListedHost>&);
/// The hosts of one data centre, where the query names one; 304 and no list when the asker's entity tag is the present one.
Response hostListResponse(std::vector<Ports::ListedHost>, const Request&);
/// Name in the path of a request to reboot a host; nothing for other requests.
std::optional<std::string> hostToReboot(const Request&);
/// Nothing when the object isn't a host list.
std::optional<std::vector<Ports::ListedHost>> hostListOf(const Json::Value&);

} // namespace Standins
