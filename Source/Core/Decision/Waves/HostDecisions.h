#pragma once

/// Decisions of the planners about hosts. The assignment state machine and the platform execute them. Decisions are
/// repeated until their effect is seen, so executing one must be idempotent.

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace Decision {

/// Stops sending work to a host and lets its running work finish. The executor writes its own record only while the
/// host's reservation for this wave is still in the phase `draining`, and compares the revision of the reservation's key
/// in that write.
struct DrainHost {
    std::string upstream;
    std::string dataCentre;
    std::string wave;
};

/// Reboots a host. Refused if the host's incarnation differs, because then it has rebooted already.
struct RebootHost {
    std::string upstream;
    std::string wave;
    std::uint64_t incarnation = 0;
};

/// Returns a host to service in the pool that it is assigned to.
struct ReturnHost {
    std::string upstream;
};

/// Assigns a host to another pool: drains it, waits until it is idle, and lets it serve the new pool.
struct MoveHost {
    std::string upstream;
    std::string from;
    std::string to;

    bool operator==(const MoveHost&) const = default;
};

/// Action on a task that delays a drain.
enum class TaskAction {
    Checkpoint,
    Throttle,
    Stop,
};

/// Checkpoints, throttles or stops one task of a draining host.
struct ControlTask {
    std::string upstream;
    std::string task;
    TaskAction action = TaskAction::Checkpoint;
};

using WaveDecision = std::variant<DrainHost, RebootHost, ReturnHost, ControlTask>;

} // namespace Decision
