#pragma once

/// Plug-in that provides the job subsystem with its event loop and all of its ports.

#include "Common/Registry.h"
#include "Common/TaskLoop.h"
#include "Ports/JobPort.h"
#include "Ports/MachinePort.h"
#include "Ports/PlatformPort.h"
#include "Ports/PublishedPort.h"
#include "Ports/WorkerPort.h"

#include <functional>
#include <string>

namespace Ports {

/// Addresses of the platform's services and of this host's listeners.
struct JobPlatformSettings {
    std::string host;
    std::string callerAddress; ///< "ip:port" to listen on, like the next two.
    std::string readyAddress;
    std::string metricsAddress;
    std::string storeAddress; ///< "ip:port" to connect to, like the next two.
    std::string machineAddress;
    std::string adviceAddress; ///< Empty if there is no advice service.
};

/// Owns the event loop that its ports call back on.
class JobPlatform {
public:
    virtual ~JobPlatform() = default;
    virtual Common::TaskLoop& loop() = 0;
    virtual PlatformPort& store() = 0;
    virtual WorkerPort& workers() = 0;
    virtual MachinePort& machines() = 0;
    virtual PublishedPort& published() = 0;
    virtual JobPort& callers() = 0;
    /// Runs the task on the loop each time the process receives the signal. Call before run().
    virtual void onSignal(int signal, std::function<void()>) = 0;
    /// Runs the loop until stop().
    virtual void run() = 0;
    virtual void stop() = 0;
};

using JobPlatformRegistry = Common::Registry<JobPlatform, const JobPlatformSettings&>;
using JobPlatformRegistration = Common::Registration<JobPlatform, const JobPlatformSettings&>;

} // namespace Ports
