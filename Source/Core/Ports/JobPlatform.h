#pragma once

/// The platform that the job subsystem runs on, as one plug-in: its loop and all of its ports.

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

/// Where the platform's services are, and where callers are served.
struct JobPlatformSettings {
    std::string host;
    std::string callerAddress; ///< "ip:port" to listen on, as are the next two.
    std::string readyAddress;
    std::string metricsAddress;
    std::string storeAddress; ///< "ip:port" to call, as are the next two.
    std::string machineAddress;
    std::string adviceAddress; ///< Empty when there is none.
};

/// Owns the loop that all of its ports call back on.
class JobPlatform {
public:
    virtual ~JobPlatform() = default;
    virtual Common::TaskLoop& loop() = 0;
    virtual PlatformPort& store() = 0;
    virtual WorkerPort& workers() = 0;
    virtual MachinePort& machines() = 0;
    virtual PublishedPort& published() = 0;
    virtual JobPort& callers() = 0;
    /// Runs the task on the loop whenever the process gets the signal; before run().
    virtual void onSignal(int signal, std::function<void()>) = 0;
    /// Runs the loop until stop().
    virtual void run() = 0;
    virtual void stop() = 0;
};

using JobPlatformRegistry = Common::Registry<JobPlatform, const JobPlatformSettings&>;
using JobPlatformRegistration = Common::Registration<JobPlatform, const JobPlatformSettings&>;

} // namespace Ports
