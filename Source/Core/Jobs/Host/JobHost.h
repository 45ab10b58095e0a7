#pragma once

/// An entry host that runs the job subsystem on a platform plug-in: makes the ports, serves until it is told to stop.

#include "Common/Result.h"
#include "Kernel/KernelError.h"
#include "Kernel/Settings.h"

#include <memory>

namespace Jobs {

/// The whole process.
class JobHost {
public:
    /// Fails when the settings name a platform that isn't built in, or lack an address that it needs.
    static Common::Result<std::unique_ptr<JobHost>, Kernel::KernelError> create(Kernel::Settings);
    ~JobHost();

    /// Serves until SIGTERM or SIGINT, then hands its duties over and answers what it has taken. Throws Kernel::KernelError
    /// when an address can't be had.
    void run();

private:
    struct Private;

    explicit JobHost(std::unique_ptr<Private>);

    std::unique_ptr<Private> m_private;
};

} // namespace Jobs
