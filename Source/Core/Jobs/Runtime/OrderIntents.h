#pragma once

/// Write-ahead intents of the fleet duty. A holder stores the names of machines, fenced, before it sends their orders. The next
/// holder puts these machines into a cooldown, as an order by its predecessor may still take effect, and may order all others.

#include "Common/TaskLoop.h"
#include "Jobs/Runtime/Ownership.h"
#include "Ports/PlatformPort.h"

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <set>
#include <string>

namespace Jobs {

/// Dependencies and settings of OrderIntents.
struct IntentContext {
    Common::TaskLoop& loop;
    Ports::PlatformPort& platform;
    std::string holder; ///< Name of this host; without spaces.
    Predecessor predecessor = Predecessor::Lapsed; ///< Determines the cooldown of all machines until the intents are read.
    std::chrono::milliseconds handoverCooldown { 0 }; ///< Least time between orders of two holders for one machine.
};

/// Used on the loop's thread only.
class OrderIntents {
public:
    /// `Fence` is the fencing token of the fleet duty.
    OrderIntents(const IntentContext&, Fence);
    ~OrderIntents();
    OrderIntents(const OrderIntents&) = delete;
    OrderIntents& operator=(const OrderIntents&) = delete;

    /// Reads the intents of earlier holders; retries until that succeeds. Call it once, after this host acquired the duty:
    /// from then on the fence keeps earlier holders from recording intents.
    void begin();

    /// True while no machine may be ordered, as the intents of earlier holders haven't been read.
    bool isFleetInCooldown() const;
    /// True while the machine may not be ordered; so for all while isFleetInCooldown().
    bool isInCooldown(const std::string& machine) const;
    /// Machines that may not be ordered because of an earlier holder's intent. Empty until the intents are read.
    std::set<std::string> machinesInCooldown() const;
    /// Time until every machine may be ordered; zero when none is in cooldown.
    std::chrono::milliseconds cooldownLeft() const;

    /// Stores the intent to order the machines. The callback gets true once orders may be sent. After false none may be sent, and
    /// settle() needn't be called: the write failed, or its outcome is uncertain, or another host has the duty.
    void recordIntents(const std::set<std::string>& machines, std::function<void(bool isRecorded)>);
    /// Marks the machine's order as answered or given up: it can take effect no later than a call to the machine service may
    /// last. The intent is deleted once no holder needs it.
    void settle(const std::string& machine);

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace Jobs
