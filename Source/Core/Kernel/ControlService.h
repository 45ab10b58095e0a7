#pragma once

/// Runs membership, configuration, assignments, waves and the audit trail of one host between the platform, the peers
/// and the operators. Lock order: this service's lock, then RequestService's, then the ports'.

#include "Decision/Configuration/ConfigurationKeeper.h"
#include "Decision/Configuration/ConfigurationPublisher.h"
#include "Kernel/FleetAgent.h"
#include "Kernel/Metrics.h"
#include "Kernel/RequestService.h"
#include "Kernel/Settings.h"
#include "Kernel/WorkerPool.h"
#include "Objects/Types.h"
#include "Ports/PeerPort.h"
#include "Ports/PlatformPort.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Kernel {

/// Ports of the control service; all must outlive it.
struct ControlPorts {
    Ports::PlatformPort& platform;
    Ports::PeerPort& peers;
};

/// Status of a host as operators see it.
struct ControlStatus {
    std::string host;
    std::string dataCentre;
    bool ready = false;
    std::vector<std::string> notReadyBecause;
    std::uint64_t viewEpoch = 0;
    std::vector<std::string> members;
    std::vector<std::string> alive; ///< Members that answer heartbeats.
    std::uint64_t revision = 0;
    std::uint64_t highestKnownRevision = 0; ///< Highest that this host or any peer has shown.
    std::vector<Decision::DataCentreInForce> inForce;
    std::vector<std::string> alarms;
    std::size_t auditWaiting = 0; ///< Audit records that aren't stored yet.
};

/// Assignment of an upstream to a pool.
struct UpstreamStatus {
    std::string upstream;
    std::string pool;
    std::string state; ///< "serving", "draining" or "idle".
    std::string target; ///< Pool that it moves to; empty when serving.
    bool pinned = false;
};

using PublishCallback = std::function<void(const Decision::PublishResult&)>;

/// Thread-safe.
class ControlService : public Ports::PeerSink {
public:
    /// Throws KernelError when a core rejects its settings. Everything passed by reference must outlive the service.
    static std::unique_ptr<ControlService> create(const Settings&, std::uint64_t incarnation, const ControlPorts&, RequestService&, WorkerPool&, Metrics&);
    ~ControlService() override;

    void onFrameReceived(const Ports::HostId& from, std::string frame) override;
    void onPeerDisconnected(const Ports::HostId&) override;

    /// Runs the cores' timers. EntryHost calls it every 100 ms.
    void tick();

    /// Makes the host not ready, so that the balancer and the peers send it no new requests.
    void beginDrain();
    /// Starts giving up membership and duties and writing the remaining audit records; hasLeft() shows the end.
    void leave();
    /// True once the host is no longer a member and every audit record is stored.
    bool hasLeft();

    /// State of this host, for the administration API.
    ControlStatus status();
    /// Assignments of the upstreams of this data centre, from the record read last.
    std::vector<UpstreamStatus> upstreams();
    /// Document of the configuration in force; null while there is none.
    Ports::Bytes document();
    /// Revision of the configuration in force.
    std::uint64_t revision();
    /// Publishes a configuration. The callback runs once, on any thread and under this service's lock: it must not call
    /// the service.
    void publish(Decision::PublishRequest, PublishCallback);
    /// Every fault of a document as the successor of the one in force; empty when it is valid.
    std::vector<std::string> faultsOfChange(const std::string& document);
    /// Requests a move of an upstream of this data centre for an operator, and records it in the audit trail. Returns
    /// nullopt when it is accepted, otherwise the reason for the refusal.
    std::optional<std::string> requestMove(const std::string& who, const std::string& upstream, const std::string& target, const std::string& why);
    /// Progress of the waves of this data centre, as far as this host knows. Without the fleet duty, starts a refresh that
    /// later calls see.
    std::vector<WaveStatus> waves();
    /// True while this host holds the fleet duty: it plans the moves and waves of its data centre.
    bool holdsFleetDuty();
    /// Appends a record to the audit trail.
    void audit(const std::string& who, const std::string& what, const std::string& why);
    /// Reads a data centre's audit trail from the store, one line of JSON per entry. The callback runs on a thread of the
    /// platform adapter; without status Ok the entries are missing or incomplete.
    void readAudit(const std::string& dataCentre, std::function<void(Ports::PlatformStatus, std::vector<std::string>)>);

private:
    class Impl;
    explicit ControlService(std::unique_ptr<Impl>);
    std::unique_ptr<Impl> m_impl;
};

} // namespace Kernel
