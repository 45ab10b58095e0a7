#pragma once

/// Stand-in for the platform: key-value service (subset of the etcd v3 JSON mapping) and host list, with faults on demand.

#include "Adapters/Platform/EventLoop.h"
#include "Common/Result.h"
#include "Ports/PlatformPort.h"
#include "Standins/StandinError.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <vector>

namespace Standins {

/// How the platform misbehaves.
enum class PlatformFaultMode {
    Up, ///< Not at all.
    Down, ///< Refuses connections; all open ones are closed.
    Slow, ///< Acts and answers late.
    LateAfterEffect, ///< Writes take effect, then the connection is closed without an answer (after the delay).
};

/// A fault to inject.
struct PlatformFault {
    PlatformFaultMode mode = PlatformFaultMode::Up;
    std::chrono::milliseconds delay { 0 };
    std::uint64_t calls = 0; ///< Ends after this many calls were hit; zero for no end. Not for Down.
    std::chrono::milliseconds length { 0 }; ///< Back to Up after this time; zero for no end.
};

/// Calls served since the start.
struct PlatformCounters {
    std::uint64_t ranges = 0;
    std::uint64_t transactions = 0;
    std::uint64_t leaseCalls = 0;
    std::uint64_t watches = 0; ///< Set up since the start.
    std::uint64_t hostLists = 0;
    std::uint64_t hostListsUnchanged = 0; ///< Of those, the ones answered without the list.
    std::size_t waitingWatches = 0; ///< Open now.
};

/// Ports on 127.0.0.1; zero takes any free one.
struct PlatformStandinSettings {
    unsigned port = 0;
    unsigned adminPort = 0; ///< The same POST /fault, POST /hosts and GET /counters as the service; open while that is down.
};

/// Serves on the given loop. Used on the loop's thread, or before it runs; destroyed after the loop has ended.
class PlatformStandin {
public:
    static Common::Result<std::unique_ptr<PlatformStandin>, StandinError> create(Adapters::EventLoop&, const PlatformStandinSettings&);
    /// Call shutdown() before, on the loop's thread.
    ~PlatformStandin();

    unsigned port() const;
    unsigned adminPort() const;
    void setFault(const PlatformFault&);
    void setHosts(std::vector<Ports::ListedHost>);
    /// Closes the connections of open watches, as a restart of the service would.
    void breakWatches();
    PlatformCounters counters() const;
    /// Closes everything.
    void shutdown();

private:
    class Private;

    explicit PlatformStandin(std::unique_ptr<Private>);

    std::unique_ptr<Private> m_private;
};

} // namespace Standins
