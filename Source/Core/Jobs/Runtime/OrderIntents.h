#pragma once

/// Which machines the holders of the fleet's duty may have ordered something for. A holder names machines in the store,
/// under its fence, before it sends their orders, so that the next one need only leave those alone for a while.

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

/// What the intents work with.
struct IntentContext {
    Common::TaskLoop& loop;
    Ports::PlatformPort& platform;
    std::string holder; ///< This host; without spaces.
    Predecessor predecessor = Predecessor::Lapsed;
    std::chrono::milliseconds holderSilence { 0 }; ///< Between orders of two holders for one machine.
};

/// Used on the loop's thread only.
class OrderIntents {
public:
    OrderIntents(const IntentContext&, Fence);
    ~OrderIntents();
    OrderIntents(const OrderIntents&) = delete;
    OrderIntents& operator=(const OrderIntents&) = delete;

    /// Reads what earlier holders announced. Call it once this host has the duty: then none of them announces any more.
    void begin();

    /// True while every machine has to be left alone, as it isn't known which ones earlier holders announced.
    bool isSilentForAll() const;
    bool isSilent(const std::string& machine) const;
    /// Machines that earlier holders announced and that have to be left alone.
    std::set<std::string> silentMachines() const;
    /// Until the last machine may be ordered.
    std::chrono::milliseconds silenceLeft() const;

    /// Orders may be sent once the callback gets true. After false none of them may: they are settled.
    void announce(const std::set<std::string>& machines, std::function<void(bool isAnnounced)>);
    /// The machine's order was answered or is given up: it has no effect after the time of a call.
    void settled(const std::string& machine);

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace Jobs
