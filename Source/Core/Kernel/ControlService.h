#pragma once

/// Membership, configuration, assignments and audit of one host, between the platform, the peers and the operators.
/// Lock order: this service's lock before RequestService's; ports below both.

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

/// The ports that the control side uses; all outlive the service.
struct ControlPorts {
    Ports::PlatformPort& platform;
    Ports::PeerPort& peers;
};

/// What operators see of a host.
struct ControlStatus {
    std::string host;
    std::string dataCentre;
    bool ready = false;
    std::vector<std::string> notReadyBecause;
    std::uint64_t viewEpoch = 0;
    std::vector<std::string> members;
    std::vector<std::string> alive;
    std::uint64_t revision = 0;
    std::uint64_t highestKnownRevision = 0;
    std::vector<Decision::DataCentreInForce> inForce;
    std::vector<std::string> alarms;
    std::size_t auditWaiting = 0;
};

/// Where an upstream is.
struct UpstreamStatus {
    std::string upstream;
    std::string pool;
    std::string state; ///< "serving", "draining" or "idle".
    std::string target;
    bool pinned = false;
};

using PublishCallback = std::function<void(const Decision::PublishResult&)>;

/// Thread-safe.
class ControlService : public Ports::PeerSink {
public:
    static std::unique_ptr<ControlService> create(const Settings&, std::uint64_t incarnation, const ControlPorts&, RequestService&, WorkerPool&, Metrics&);
    ~ControlService() override;

    void onFrameReceived(const Ports::HostId& from, std::string frame) override;
    void onPeerDisconnected(const Ports::HostId&) override;

    /// To be called every few milliseconds.
    void tick();

    /// Stops being ready, so that the balancer and the peers send nothing new.
    void beginDrain();
    /// Gives membership and duties up and writes the audit trail out.
    void leave();
    /// True once nothing waits to be written any more.
    bool left();

    ControlStatus status();
    std::vector<UpstreamStatus> upstreams();
    /// The configuration in force; null while there is none.
    Ports::Bytes document();
    std::uint64_t revision();
    void publish(Decision::PublishRequest, PublishCallback);
    /// Every fault of a document that would follow the one in force.
    std::vector<std::string> faultsOfChange(const std::string& document);
    /// An operator's move of an upstream of this data centre. Nothing when it was taken, else why not.
    std::optional<std::string> requestMove(const std::string& who, const std::string& upstream, const std::string& target, const std::string& why);
    /// Progress of the waves of this data centre, as far as this host knows.
    std::vector<WaveStatus> waves();
    /// True while this host plans the moves and waves of its data centre.
    bool holdsFleetDuty();
    void audit(const std::string& who, const std::string& what, const std::string& why);
    /// Reads the audit trail of a data centre back; each entry is one line of JSON.
    void readAudit(const std::string& dataCentre, std::function<void(Ports::PlatformStatus, std::vector<std::string>)>);

private:
    class Impl;
    explicit ControlService(std::unique_ptr<Impl>);
    std::unique_ptr<Impl> m_impl;
};

} // namespace Kernel
