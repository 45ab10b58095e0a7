#pragma once

/// Schema of the entries that operators and workers publish in the platform's store.

#include "Jobs/Model/FleetTypes.h"
#include "Ports/PlatformPort.h"

#include <optional>
#include <string>
#include <string_view>

namespace Ports {

/// Names the keys of published entries and parses their values. Has no side effects.
class PublishedPort {
public:
    virtual ~PublishedPort() = default;
    /// Prefix of all keys that operators publish.
    virtual std::string operatorPrefix() const = 0;
    /// Key of the configuration; starts with operatorPrefix().
    virtual std::string configurationKey() const = 0;
    /// Prefix of the keys of maintenance waves; starts with operatorPrefix().
    virtual std::string wavePrefix() const = 0;
    /// Prefix of the keys of workers' entries; the rest of the key is the worker's id.
    virtual std::string workerPrefix() const = 0;
    /// These three parse a value; nullopt if it is malformed.
    virtual std::optional<Jobs::JobConfiguration> readConfiguration(const std::string& value) const = 0;
    virtual std::optional<Jobs::MaintenanceWave> readWave(const std::string& value) const = 0;
    virtual std::optional<Jobs::WorkerEntry> readWorker(std::string_view id, const std::string& value) const = 0;
    /// Write that tells operators whether a wave is completed or still in progress.
    virtual Put waveStatus(std::uint64_t wave, bool isCompleted) const = 0;
};

} // namespace Ports
