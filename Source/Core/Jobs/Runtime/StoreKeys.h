#pragma once

/// Keys of the job subsystem in the platform's store.

#include <cstddef>
#include <cstdint>
#include <string>

namespace Jobs::StoreKeys {

/// Everything that is watched by every host.
constexpr const char* control = "/marigold/control/";
constexpr const char* members = "/marigold/control/members/"; ///< <host>: where the host is reached; under its lease.
constexpr const char* owners = "/marigold/control/owners/"; ///< <duty>: host that has it; under its lease, its revision is the fence.
constexpr const char* terms = "/marigold/control/terms/"; ///< <duty>: its last holder, and whether that gave it up itself.
constexpr const char* journals = "/marigold/jobs/"; ///< <pool>/<number>: a segment of the pool's journal.
constexpr const char* snapshots = "/marigold/snapshots/"; ///< <pool>/<segment>/<part>
constexpr const char* heads = "/marigold/heads/"; ///< <pool>: which snapshot and segments make up the journal.
constexpr const char* waves = "/marigold/waves/"; ///< <number>: machines of a maintenance wave that have begun theirs.
constexpr const char* orders = "/marigold/orders/"; ///< <fence>/<number>: a holder of the fleet's duty, and machines that it may have given orders for.

/// Length at which a value ends and the next one begins: well under the store's megabyte, base64 included.
constexpr std::size_t valueBytes = std::size_t { 256 } << 10;

/// Deletions in one transaction. The store takes 32 entries; two are the compare and a reserve.
constexpr std::size_t deletesPerCall = 30;

/// Digits of a number in a key, so that keys sort by it.
constexpr int numberDigits = 10;

/// The number with leading zeros.
inline std::string numberText(std::uint64_t number)
{
    auto text = std::to_string(number);
    return std::string(text.size() < numberDigits ? numberDigits - text.size() : 0, '0') + text;
}

} // namespace Jobs::StoreKeys
