#pragma once

/// Keys of the job subsystem in the platform's store.

#include <cstddef>
#include <cstdint>
#include <string>

namespace Jobs::StoreKeys {

/// Prefix of all keys that every host watches.
constexpr const char* control = "/marigold/control/";
constexpr const char* members = "/marigold/control/members/"; ///< <host>: address and processor share of the host; bound to its lease.
constexpr const char* owners = "/marigold/control/owners/"; ///< <duty>: host that holds it; bound to the host's lease. The key's revision is the fencing token.
constexpr const char* terms = "/marigold/control/terms/"; ///< <duty>: its last holder, or a mark that the holder released it.
constexpr const char* journals = "/marigold/jobs/"; ///< <pool>/<number>: a segment of the pool's journal.
constexpr const char* snapshots = "/marigold/snapshots/"; ///< <pool>/<segment>/<part>
constexpr const char* heads = "/marigold/heads/"; ///< <pool>: the snapshot and the first segment that make up the journal.
constexpr const char* queues = "/marigold/queues/"; ///< <queue's URL, hashed>/<pool and queue's name, hashed>: a pool that may hold jobs of the queue.
constexpr const char* waves = "/marigold/waves/"; ///< <number>: machines of a maintenance wave that have begun maintenance.
constexpr const char* forecast = "/marigold/forecast"; ///< Peaks that the holder of the fleet duty has detected.
constexpr const char* orders = "/marigold/orders/"; ///< <fence>/<number>: a holder of the fleet duty and the machines that it may have sent orders for.

/// Length in bytes at which a value is split: well below the store's limit of a megabyte, base64 included.
constexpr std::size_t valueBytes = std::size_t { 256 } << 10;

/// Deletions in one transaction. The store accepts 32 entries; one is for the compare and one is spare.
constexpr std::size_t deletesPerCall = 30;

/// Digits of a number in a key; fixed, so that keys sort numerically.
constexpr int numberDigits = 10;

/// Formats the number with leading zeros.
inline std::string numberText(std::uint64_t number)
{
    auto text = std::to_string(number);
    return std::string(text.size() < numberDigits ? numberDigits - text.size() : 0, '0') + text;
}

} // namespace Jobs::StoreKeys
