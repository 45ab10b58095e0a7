#pragma once

/// Stand-in for the platform: key-value service (a subset of etcd's v3 JSON mapping) and host list, with fault injection.

#include "Adapters/Platform/EventLoop.h"
#include "Common/Result.h"
#include "Ports/PlatformPort.h"
#include "Standins/StandinError.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <vector>

namespace Standins {

/// Kinds of faults that the platform can inject.
enum class PlatformFaultMode {
    Up, ///< No fault.
    Down, ///< Refuses connections and closes those that are open.
    Slow, ///< Handles calls after the delay.
    LateAfterEffect, ///< Writes take effect, then the connection is closed without an answer, after the delay.
};

struct PlatformFault {
    PlatformFaultMode mode = PlatformFaultMode::Up;
    std::chrono::milliseconds delay { 0 };
    std::uint64_t calls = 0; ///< The fault ends after it affected this many calls; zero for no limit. Not for Down.
    std::chrono::milliseconds length { 0 }; ///< The fault ends after this time; zero for no limit.
};

/// Calls served since the start.
struct PlatformCounters {
    std::uint64_t ranges = 0;
    std::uint64_t transactions = 0;
    std::uint64_t leaseCalls = 0; ///< Grants, renewals and revocations.
    std::uint64_t watches = 0; ///< Watches created, closed ones included.
    std::uint64_t hostLists = 0;
    std::uint64_t hostListsUnchanged = 0; ///< Of the hostLists, those answered by 304 without the list.
    std::size_t waitingWatches = 0; ///< Watches open now.
};

/// Ports on 127.0.0.1; 0 for any free port.
struct PlatformStandinSettings {
    unsigned port = 0;
    unsigned adminPort = 0; ///< Serves POST /fault, POST /hosts and GET /counters like `port`, but also while that is down.
};

/// Serves on the given loop. Used on the loop's thread, or before the loop runs; must be destroyed after the loop has ended.
class PlatformStandin {
public:
    /// Fails when it can't listen on one of the ports.
    static Common::Result<std::unique_ptr<PlatformStandin>, StandinError> create(Adapters::EventLoop&, const PlatformStandinSettings&);
    /// shutdown() must have been called before, on the loop's thread.
    ~PlatformStandin();

    unsigned port() const;
    unsigned adminPort() const;
    /// Replaces the current fault.
    void setFault(const PlatformFault&);
    /// Replaces the host list.
    void setHosts(std::vector<Ports::ListedHost>);
    /// Closes the connections of open watches, as a restart of the service would.
    void breakWatches();
    PlatformCounters counters() const;
    /// Closes the listeners, connections and timers; must be called before the loop ends.
    void shutdown();

private:
    class Private;

    explicit PlatformStandin(std::unique_ptr<Private>);

    std::unique_ptr<Private> m_private;
};

} // namespace Standins
