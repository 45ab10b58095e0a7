#pragma once

/// One entry host: settings, ports, services and threads, from start to a planned stop.

#include "Common/Result.h"
#include "Kernel/KernelError.h"
#include "Kernel/Settings.h"

#include <atomic>
#include <memory>

namespace Kernel {

/// Owns everything that runs in the process.
class EntryHost {
public:
    /// Builds the ports by the names in the settings. Fails when a name isn't registered.
    static Common::Result<std::unique_ptr<EntryHost>, KernelError> create(Settings);
    ~EntryHost();

    /// Serves until `stopAsked` is set, then drains and returns. Throws KernelError when an address can't be had.
    void run(const std::atomic<bool>& stopAsked);

private:
    struct Private;
    explicit EntryHost(std::unique_ptr<Private>);
    std::unique_ptr<Private> m_private;
};

} // namespace Kernel
