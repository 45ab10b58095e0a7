#pragma once

/// Messages between the hosts of the job subsystem, and their frames.

#include "Jobs/Decision/PoolCore.h"
#include "Jobs/Model/JobFields.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Jobs {

/// A caller's call, for the owner of the pool.
struct PoolCall {
    std::uint64_t call = 0; ///< Of the sender; echoed in the answer.
    std::string pool;
    Ports::JobVerb verb = Ports::JobVerb::Show;
    JobId job;
    std::string queue;
    unsigned priority = 0;
    unsigned maximumAttempts = 1;
    unsigned stretchPermille = 1000;
    milliseconds targetDuration { 0 };
    JobSpec spec;
};

/// The owner's answer.
struct PoolCallAnswer {
    std::uint64_t call = 0;
    Ports::JobOutcome outcome = Ports::JobOutcome::Unknown;
    JobState state = JobState::Queued;
    std::uint64_t backlog = 0;
    milliseconds retryAfter { 0 };
    std::string reason;
};

/// The holder of the fleet's duty asks the owner of a pool for its load, and tells it which machines to vacate.
struct LoadCall {
    std::uint64_t call = 0;
    std::string pool;
    std::vector<std::string> cordonedMachines; ///< The only ones.
    Fence fence = 0; ///< Of the fleet's duty.
};

/// The owner's load, after it took note of the cordon.
struct LoadCallAnswer {
    std::uint64_t call = 0;
    bool isOwner = false;
    Fence fence = 0;
    PoolLoad load;
};

using NodeMessage = std::variant<PoolCall, PoolCallAnswer, LoadCall, LoadCallAnswer>;

std::string encodeNodeMessage(const NodeMessage&);
/// Nothing when the frame can't be read.
std::optional<NodeMessage> decodeNodeMessage(std::string_view frame);

} // namespace Jobs
