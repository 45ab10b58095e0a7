#pragma once

/// Process of an entry host that runs the job subsystem on a platform plug-in.

#include "Common/Result.h"
#include "Kernel/KernelError.h"
#include "Kernel/Settings.h"

#include <memory>

namespace Jobs {

/// Creates the ports and the JobNode, and serves until it is signalled to stop. One per process.
class JobHost {
public:
    /// Fails when the settings name a platform or peer adapter that isn't built in, or lack an address that the platform needs.
    static Common::Result<std::unique_ptr<JobHost>, Kernel::KernelError> create(Kernel::Settings);
    ~JobHost();

    /// Serves until SIGTERM or SIGINT, then hands its duties over and answers the calls that it has accepted. Throws
    /// Kernel::KernelError when a port fails, for example because an address can't be bound.
    void run();

private:
    struct Private;

    explicit JobHost(std::unique_ptr<Private>);

    std::unique_ptr<Private> m_private;
};

} // namespace Jobs
