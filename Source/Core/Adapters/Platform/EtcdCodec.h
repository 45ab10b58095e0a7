#pragma once

/// The etcd v3 JSON mapping as a client speaks it: bodies of requests, typed replies out of bodies.

#include "Ports/PlatformPort.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Adapters::EtcdCodec {

/// First key behind all keys with the prefix; a zero byte when there is none.
std::string rangeEndOf(const std::string& prefix);

std::string encodeRange(const std::string& key, bool prefix);
std::string encodeTransaction(const Ports::Transaction&);
std::string encodeGrant(std::chrono::seconds timeToLive);
/// For both renewal and revocation.
std::string encodeLease(Ports::LeaseId);
std::string encodeWatch(const std::string& prefix, std::int64_t fromRevision);

/// The decoders give nothing when the text isn't a reply of that kind.
std::optional<Ports::PlatformReply> decodeRange(std::string_view);
std::optional<Ports::PlatformReply> decodeTransaction(std::string_view);
std::optional<Ports::PlatformReply> decodeGrant(std::string_view);
std::optional<Ports::PlatformReply> decodeRenewal(std::string_view);
std::optional<Ports::PlatformReply> decodeRevocation(std::string_view);

/// One line of a watch's stream.
struct WatchLine {
    bool created = false;
    bool cancelled = false; ///< The server ended the watch; also set for errors.
    std::vector<Ports::WatchEvent> events;
};

std::optional<WatchLine> decodeWatchLine(std::string_view);

/// True for the error that names a lease which has lapsed.
bool isLeaseNotFound(std::string_view errorBody);

std::optional<std::vector<Ports::ListedHost>> decodeHostList(std::string_view);

} // namespace Adapters::EtcdCodec
