#pragma once

/// Client side of etcd's v3 JSON mapping: encodes request bodies and decodes response bodies.

#include "Ports/PlatformPort.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Adapters::EtcdCodec {

/// First key after all keys with the prefix; a zero byte, which etcd takes as no end, if there is none.
std::string rangeEndOf(const std::string& prefix);

/// Reads one key, or all keys with the prefix.
std::string encodeRange(const std::string& key, bool prefix);
std::string encodeTransaction(const Ports::Transaction&);
std::string encodeGrant(std::chrono::seconds timeToLive);
/// For renewals and revocations.
std::string encodeLease(Ports::LeaseId);
/// Watches a prefix from a revision on (inclusive); zero for new changes only.
std::string encodeWatch(const std::string& prefix, std::int64_t fromRevision);

/// The decoders return nullopt if the text isn't a response of that kind.
std::optional<Ports::PlatformReply> decodeRange(std::string_view);
std::optional<Ports::PlatformReply> decodeTransaction(std::string_view);
std::optional<Ports::PlatformReply> decodeGrant(std::string_view);
std::optional<Ports::PlatformReply> decodeRenewal(std::string_view);
std::optional<Ports::PlatformReply> decodeRevocation(std::string_view);

/// One line of the response stream of a watch.
struct WatchLine {
    bool created = false;
    bool cancelled = false; ///< The server ended the watch, possibly with an error.
    std::vector<Ports::WatchEvent> events;
};

std::optional<WatchLine> decodeWatchLine(std::string_view);

/// True for the error that a lease has expired or never existed.
bool isLeaseNotFound(std::string_view errorBody);

/// Decodes the JSON document of the host list. Hosts without a readable incarnation have zero.
std::optional<std::vector<Ports::ListedHost>> decodeHostList(std::string_view);

} // namespace Adapters::EtcdCodec
