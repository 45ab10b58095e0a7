#pragma once

/// Port for the platform's machine service and for the teams' advice service.

#include "Jobs/Model/FleetTypes.h"

#include <chrono>
#include <functional>
#include <string>
#include <vector>

namespace Ports {

/// Result of an order for a machine.
enum class MachineStatus {
    Done, ///< Also if it had been carried out before.
    Busy, ///< The machine isn't up, or is leaving.
    NotInWave, ///< The machine isn't part of the maintenance wave.
    Fenced, ///< The service has seen a higher fence, from a newer holder.
    Malformed, ///< There is no such machine, or it can't be moved to that pool.
    TooMany, ///< Not carried out: the rate limit is reached, or the service rejects calls or is unreachable.
    NoAnswer, ///< May have been carried out.
};

/// An order with the name and fencing token of the lease holder that sends it.
struct MachineOrder {
    std::string machine;
    std::string holder;
    Jobs::Fence fence = 0;
    std::string pool; ///< Target pool of move().
    std::uint64_t wave = 0; ///< Maintenance wave of maintain().
};

/// Receives all machines, or false and an empty list if any page of it couldn't be read.
using MachineListCallback = std::function<void(bool isComplete, std::vector<Jobs::Machine>)>;
using MachineCallback = std::function<void(MachineStatus)>;

/// Permission to run a step on a worker.
struct Ticket {
    std::string worker;
    std::string text; ///< Opaque; handed to the worker with the start of a run.
};

/// Result of a call for advice.
enum class AdviceStatus {
    Received,
    TooMany, ///< The advice service has too many calls waiting.
    NoAnswer, ///< Unreachable, timed out or failed.
};

/// Receives tickets for the allowed workers, valid for `validity`.
using AdviceCallback = std::function<void(AdviceStatus, std::vector<Ticket>, std::chrono::milliseconds validity)>;

/// Every call returns at once; its callback runs later, exactly once, on the loop that the port was created with.
class MachinePort {
public:
    virtual ~MachinePort() = default;
    virtual void list(MachineListCallback) = 0;
    /// Moves a machine to another pool.
    virtual void move(const MachineOrder&, MachineCallback) = 0;
    /// Hands a machine over for the maintenance of a wave.
    virtual void maintain(const MachineOrder&, MachineCallback) = 0;
    /// Asks which of the workers, at most 100, may run a step.
    virtual void advise(const Jobs::TaskKey& step, const std::vector<std::string>& workers, AdviceCallback) = 0;
};

} // namespace Ports
