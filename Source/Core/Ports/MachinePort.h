#pragma once

/// Port towards the platform's machine service and the advice services of teams.

#include "Jobs/Model/FleetTypes.h"

#include <chrono>
#include <functional>
#include <string>
#include <vector>

namespace Ports {

/// How an order for a machine ended.
enum class MachineStatus {
    Done, ///< Also when it had been done before.
    Busy, ///< The machine isn't up, or is leaving.
    NotInWave,
    Fenced, ///< A newer holder gives orders.
    Malformed, ///< There is no such machine, or it can't go to that pool.
    TooMany, ///< Surely did nothing: the rate limit is reached, or the service turns calls away.
    NoAnswer, ///< May have been carried out.
};

/// An order, with its holder's name and fence.
struct MachineOrder {
    std::string machine;
    std::string holder;
    Jobs::Fence fence = 0;
    std::string pool; ///< Of a move.
    std::uint64_t wave = 0; ///< Of maintenance.
};

/// All machines, or nothing when the list couldn't be read whole.
using MachineListCallback = std::function<void(bool isWhole, std::vector<Jobs::Machine>)>;
using MachineCallback = std::function<void(MachineStatus)>;

/// Lets a worker run a step.
struct Ticket {
    std::string worker;
    std::string text;
};

/// How a call for advice ended.
enum class AdviceStatus {
    Received,
    TooMany, ///< Too many calls wait.
    NoAnswer,
};

using AdviceCallback = std::function<void(AdviceStatus, std::vector<Ticket>, std::chrono::milliseconds validity)>;

/// Every call returns at once; its callback runs later, once, on the loop that the port was made with.
class MachinePort {
public:
    virtual ~MachinePort() = default;
    virtual void list(MachineListCallback) = 0;
    virtual void move(const MachineOrder&, MachineCallback) = 0;
    virtual void maintain(const MachineOrder&, MachineCallback) = 0;
    /// Asks which of the workers may run a step; at most 100 of them.
    virtual void advise(const Jobs::TaskKey& step, const std::vector<std::string>& workers, AdviceCallback) = 0;
};

} // namespace Ports
