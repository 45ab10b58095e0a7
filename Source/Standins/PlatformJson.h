#pragma once

/// JSON of the platform stand-in: the server side of the etcd v3 JSON mapping, and the host list.

#include "Ports/PlatformPort.h"
#include "Standins/HttpServer.h"

#include <json/json.h>
#include <optional>
#include <string>
#include <vector>

namespace Standins {

constexpr int notModified = 304;

/// The "header" of each response.
Json::Value headerOf(std::int64_t revision);
Json::Value pairJson(const Ports::KeyValue&);
/// Response to a lease grant or renewal.
Json::Value leaseJson(const Ports::PlatformReply&);
/// Line of a watch's stream with events.
std::string watchLine(std::int64_t revision, const std::vector<Ports::WatchEvent>&);
/// Line of a watch's stream with a flag: "created" or "canceled".
std::string watchStateLine(std::int64_t revision, const char* state);
/// Reads the body of a transaction; malformed fields read as empty or zero.
Ports::Transaction transactionOf(const Json::Value&);
/// Key or prefix of a range or watch request.
std::string prefixOf(const Json::Value&);
/// `status` is that of HTTP, `code` that of gRPC.
Response errorResponse(int status, int code, const char* message);

Json::Value hostListJson(const std::vector<Ports::ListedHost>&);
/// The host list, limited to the data centre that the query names and to hosts without one. 304 without the list when the
/// request's If-None-Match equals the current entity tag.
Response hostListResponse(std::vector<Ports::ListedHost>, const Request&);
/// Host name in the path of a reboot request; nothing for other requests.
std::optional<std::string> hostToReboot(const Request&);
/// Reads a host list; nothing when the object isn't one.
std::optional<std::vector<Ports::ListedHost>> hostListOf(const Json::Value&);

} // namespace Standins
