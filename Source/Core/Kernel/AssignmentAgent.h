#pragma once

/// Keeps one host's copy of its data centre's assignment record: registers the process under its membership lease,
/// reads the record, and adds upstreams that the configuration has and the record lacks. MoveCoordinator makes the moves.

#include "Decision/Assignment/AssignmentStore.h"
#include "Decision/Assignment/AssignmentTable.h"
#include "Decision/Membership/PlatformActions.h"

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Kernel {

/// Initial assignment of an upstream, from the configuration.
struct ConfiguredUpstream {
    std::string pool;
    bool pinned = false;
};

/// Changes since the last takeUpdates(); ControlService passes them to the AssignmentTable.
struct AssignmentUpdates {
    std::optional<Decision::ViewLease> lease; ///< Set when a registration or renewal confirmed it.
    std::optional<Decision::AssignmentRecord> record;
    Ports::LeaseId readLease = 0; ///< Registered lease when the read of `record` was sent; zero for none.
};

/// Has at most one platform call in flight. No I/O: ControlService runs the actions and passes the replies in. Not thread-safe.
class AssignmentAgent {
public:
    AssignmentAgent(std::string dataCentre, Decision::ProcessId self);

    /// Upstreams of the data centre by name, from the configuration in force. Requests a read.
    void setConfigured(std::map<std::string, ConfiguredUpstream>);

    /// Starts a registration or a read when one is due. `lease` is the membership lease while it is valid, nullopt otherwise.
    void tick(Common::Instant now, std::optional<Decision::ViewLease> lease);
    /// Takes the reply to the call in flight; others are ignored. A failed call is repeated after 300 ms.
    void handle(Common::Instant now, const Decision::PlatformReplied&);

    /// A peer reported this version of the record. Requests a read when it is later than the local copy.
    void noteVersion(std::uint64_t version);
    /// Requests a read at the next tick, because this host has changed the record or must settle a write.
    void requestRead() { m_readRequested = true; }

    /// Version of the local copy; zero before the first read.
    std::uint64_t version() const { return m_snapshot.record.version; }
    const Decision::AssignmentSnapshot& snapshot() const { return m_snapshot; }

    /// Platform calls to make, since the last call.
    std::vector<Decision::PlatformAction> takeActions();
    AssignmentUpdates takeUpdates();

private:
    enum class Call {
        None,
        Read,
        Register,
        Add,
    };

    void read(Common::Instant now);
    void handleRead(Common::Instant now, const Ports::PlatformReply&);
    /// True when a write was started.
    bool addMissingUpstreams();
    void startCall(Call, Decision::PlatformAction);

    std::string m_dataCentre;
    Decision::ProcessId m_self;
    std::map<std::string, ConfiguredUpstream> m_configured;
    Decision::AssignmentSnapshot m_snapshot;
    std::optional<Decision::ViewLease> m_lease;
    Ports::LeaseId m_registeredLease = 0; ///< Lease under which this process is registered in the store; zero for none.
    Ports::LeaseId m_registeringLease = 0;
    Ports::LeaseId m_readLease = 0;
    bool m_hasRead = false;
    bool m_readRequested = true;
    Common::Instant m_nextRead {};
    Common::Instant m_retryAt {};
    Call m_call = Call::None;
    Decision::PlatformToken m_token = 0;
    Decision::PlatformToken m_nextToken = 1;
    std::vector<Decision::PlatformAction> m_actions;
    AssignmentUpdates m_updates;
};

} // namespace Kernel
