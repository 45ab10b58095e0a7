#pragma once

/// Port towards what operators and workers publish in the platform's store.

#include "Jobs/Model/FleetTypes.h"
#include "Ports/PlatformPort.h"

#include <optional>
#include <string>
#include <string_view>

namespace Ports {

/// Turns published values into objects. Pure; an unreadable value gives nothing.
class PublishedPort {
public:
    virtual ~PublishedPort() = default;
    /// Prefix of everything that operators publish.
    virtual std::string operatorPrefix() const = 0;
    /// Key of the configuration, below the operators' prefix.
    virtual std::string configurationKey() const = 0;
    /// Prefix of maintenance waves, below the operators' prefix.
    virtual std::string wavePrefix() const = 0;
    /// Prefix of workers' entries; the rest of a key is the worker's id.
    virtual std::string workerPrefix() const = 0;
    virtual std::optional<Jobs::JobConfiguration> readConfiguration(const std::string& value) const = 0;
    virtual std::optional<Jobs::MaintenanceWave> readWave(const std::string& value) const = 0;
    virtual std::optional<Jobs::WorkerEntry> readWorker(std::string_view id, const std::string& value) const = 0;
    /// Tells operators whether a wave goes on or is done.
    virtual Put waveStatus(std::uint64_t wave, bool isCompleted) const = 0;
};

} // namespace Ports
