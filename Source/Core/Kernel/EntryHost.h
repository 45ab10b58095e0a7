#pragma once

/// One entry host process: builds ports and services from the settings, serves, and drains at a planned stop.

#include "Common/Result.h"
#include "Kernel/KernelError.h"
#include "Kernel/Settings.h"

#include <atomic>
#include <memory>

namespace Kernel {

/// Owns the ports, the services and the worker threads of the process.
class EntryHost {
public:
    /// Creates the ports that the settings name. Fails when no adapter is registered under a name or a service rejects its settings.
    static Common::Result<std::unique_ptr<EntryHost>, KernelError> create(Settings);
    ~EntryHost();

    /// Serves until `stopRequested` is set, then drains and returns. Blocks. Throws KernelError when a port can't start, for
    /// example because an address is in use.
    void run(const std::atomic<bool>& stopRequested);

private:
    struct Private;
    explicit EntryHost(std::unique_ptr<Private>);
    std::unique_ptr<Private> m_private;
};

} // namespace Kernel
