#pragma once

/// A host's part in the assignments of its data centre: registration, reading the record, adding upstreams that
/// the configuration names and the record doesn't know yet. Moves are made by MoveCoordinator.

#include "Decision/Assignment/AssignmentStore.h"
#include "Decision/Assignment/AssignmentTable.h"
#include "Decision/Membership/PlatformActions.h"

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Kernel {

/// An upstream as the configuration places it at first.
struct ConfiguredUpstream {
    std::string pool;
    bool pinned = false;
};

/// What the agent learnt since it was last asked.
struct AssignmentNews {
    std::optional<Decision::ViewLease> lease; ///< Confirmed by a registration or a renewal.
    std::optional<Decision::AssignmentRecord> record;
    Ports::LeaseId askedUnder = 0; ///< Lease that was confirmed when the record was asked for.
};

/// Issues one platform call at a time. Not thread-safe.
class AssignmentAgent {
public:
    AssignmentAgent(std::string dataCentre, Decision::ProcessId self);

    /// Upstreams of the data centre by name, from the configuration in force.
    void setConfigured(std::map<std::string, ConfiguredUpstream>);

    /// The membership lease while it may be relied on, and until when.
    void tick(Common::Instant now, std::optional<Decision::ViewLease> lease);
    void handle(Common::Instant now, const Decision::PlatformReplied&);

    /// A peer knows of a later version.
    void hint(std::uint64_t version);
    /// The record changed by this host's own hand.
    void readSoon() { m_readWanted = true; }

    std::uint64_t version() const { return m_snapshot.record.version; }
    const Decision::AssignmentSnapshot& snapshot() const { return m_snapshot; }

    std::vector<Decision::PlatformAction> takeActions();
    AssignmentNews takeNews();

private:
    enum class Call {
        None,
        Read,
        Register,
        Add,
    };

    void read(Common::Instant now);
    void readDone(Common::Instant now, const Ports::PlatformReply&);
    bool addMissing();
    void begin(Call, Decision::PlatformAction);

    std::string m_dataCentre;
    Decision::ProcessId m_self;
    std::map<std::string, ConfiguredUpstream> m_configured;
    Decision::AssignmentSnapshot m_snapshot;
    std::optional<Decision::ViewLease> m_lease;
    Ports::LeaseId m_registered = 0; ///< Lease under which this process stands in the store; zero for none.
    Ports::LeaseId m_registering = 0;
    Ports::LeaseId m_askedUnder = 0;
    bool m_everRead = false;
    bool m_readWanted = true;
    Common::Instant m_nextRead {};
    Common::Instant m_retryAt {};
    Call m_call = Call::None;
    Decision::PlatformToken m_token = 0;
    Decision::PlatformToken m_nextToken = 1;
    std::vector<Decision::PlatformAction> m_actions;
    AssignmentNews m_news;
};

} // namespace Kernel
