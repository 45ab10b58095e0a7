#pragma once

/// What planners decide about hosts. The assignment state machine and the platform carry them out; every decision may
/// be repeated and must then have no further effect.

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace Decision {

/// Stop sending work to a host and let it run empty. Whoever carries it out writes its own record only while the
/// reservation named here is still in the phase `draining`, and compares the revision of that key.
struct DrainHost {
    std::string upstream;
    std::string dataCentre;
    std::string wave;
};

/// Reboot a host; refused when its incarnation is another one, since then it has rebooted already.
struct RebootHost {
    std::string upstream;
    std::string wave;
    std::uint64_t incarnation = 0;
};

/// Give work to the host again, in the pool that it is assigned to.
struct ReturnHost {
    std::string upstream;
};

/// Assign a host to another pool: drain, idle, serve.
struct MoveHost {
    std::string upstream;
    std::string from;
    std::string to;

    bool operator==(const MoveHost&) const = default;
};

/// What is done to a task that holds up a drain.
enum class TaskMeasure {
    Checkpoint,
    Throttle,
    Stop,
};

/// Ease one task of a draining host.
struct ControlTask {
    std::string upstream;
    std::string task;
    TaskMeasure measure = TaskMeasure::Checkpoint;
};

using WaveDecision = std::variant<DrainHost, RebootHost, ReturnHost, ControlTask>;

} // namespace Decision
