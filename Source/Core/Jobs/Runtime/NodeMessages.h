#pragma once

/// Messages between the hosts of the job subsystem and their encoding as frames.

#include "Jobs/Decision/PoolCore.h"
#include "Jobs/Model/JobFields.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Jobs {

/// A caller's request, forwarded to the owner of the pool; or, with an asking pool, the question of that pool's owner about a job or a
/// backlog, which the owner answers from its own pool alone.
struct PoolCall {
    std::uint64_t call = 0; ///< Number that the sender gave to the call; echoed in the answer.
    std::string pool;
    Ports::JobVerb verb = Ports::JobVerb::Show;
    JobId job;
    std::string queue;
    unsigned priority = 0;
    unsigned maximumAttempts = 1;
    unsigned stretchPermille = 1000;
    milliseconds targetDuration { 0 };
    JobSpec spec;
    std::string queueHost;
    std::string queuePrefix;
    std::uint64_t configuration = 0; ///< Version by which the sender chose the pool.
    std::string askingPool; ///< Empty for a caller's request.
    std::string askingQueue; ///< The queue's name in that pool, while `queue` is its name in the pool that is asked.
};

/// The owner's answer to a PoolCall. To a question whether a job may be accepted, Cancelled means that it was cancelled while unknown.
struct PoolCallAnswer {
    std::uint64_t call = 0;
    Ports::JobOutcome outcome = Ports::JobOutcome::Unknown;
    JobState state = JobState::Queued;
    std::uint64_t backlog = 0;
    milliseconds retryAfter { 0 };
    std::string reason;
};

/// Request of the fleet duty's holder to the owner of a pool for its load; also sets the pool's cordon.
struct LoadCall {
    std::uint64_t call = 0;
    std::string pool;
    std::vector<std::string> cordonedMachines; ///< All machines of the pool that are to be vacated; replaces the previous cordon.
    Fence fence = 0; ///< Fencing token of the fleet duty; the owner ignores cordons under an older one.
};

/// Answer to a LoadCall: the pool's load once the cordon is applied.
struct LoadCallAnswer {
    std::uint64_t call = 0;
    bool isOwner = false; ///< False when the host doesn't serve the pool; the other fields are unset then.
    Fence fence = 0; ///< Fencing token of the pool's owner.
    PoolLoad load;
};

using NodeMessage = std::variant<PoolCall, PoolCallAnswer, LoadCall, LoadCallAnswer>;

/// Encodes the message's index in the variant as one byte, then its fields.
std::string encodeNodeMessage(const NodeMessage&);
/// Returns nullopt when the frame is malformed or a time, fencing token or total in it is out of range.
std::optional<NodeMessage> decodeNodeMessage(std::string_view frame);

} // namespace Jobs
