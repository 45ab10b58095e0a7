#pragma once

/// State and steps of the control service. ControlService.cpp handles events, ControlEffects.cpp applies their effects.

#include "Decision/Audit/AuditTrail.h"
#include "Decision/Membership/Membership.h"
#include "Kernel/AssignmentAgent.h"
#include "Kernel/ControlService.h"
#include "Kernel/FleetAgent.h"
#include "Kernel/ObjectsValidator.h"
#include "Kernel/PlatformRunner.h"

#include <map>
#include <mutex>
#include <set>

namespace Kernel {

class ControlService::Impl {
public:
    Impl(const Settings&, std::uint64_t incarnation, const ControlPorts&, RequestService&, WorkerPool&, Metrics&);

    // Events (ControlService.cpp).
    /// Handles a message from another host's control service. Heartbeats are passed to the request core too.
    void handleControlMessage(const Ports::HostId&, const Messages::PeerMessage&);
    void handleHeartbeat(Common::Instant now, const Ports::HostId&, const Messages::Heartbeat&);
    void tick(Common::Instant now);
    /// Carries out the actions of all cores and applies their changes. To be called after each event, under the lock.
    void pump(Common::Instant now);
    template<typename Core>
    void carryOut(Core&, const PlatformReplies&);
    void carryOut(const Decision::Action&, const PlatformReplies&);
    void send(const Ports::HostId&, const Messages::PeerMessage&);
    template<typename Handler>
    PlatformReplies repliesTo(Handler);

    // Effects (ControlEffects.cpp).
    void applyConfiguration(const Decision::ConfigurationAdopted&);
    void applyAssignment(Common::Instant now);
    void applyMembership(Common::Instant now);
    void handleAssignmentQuery(const Ports::HostId&, const Messages::AssignmentQuery&);
    void tickFleet(Common::Instant now);
    void handleHostList(Common::Instant now, const Decision::HostListReplied&);
    void updateUpstreams();
    void updateReadiness(Common::Instant now);
    void updateHeartbeat(Common::Instant now);
    void updatePeers();
    void finishPublications();
    void record(const std::string& who, const std::string& what, const std::string& why);
    /// Loads of this host's pools, counted again every half heartbeat interval because the count visits every upstream.
    const std::vector<Messages::PoolLoad>& ownLoads(Common::Instant now);
    /// Alive members that take requests: ready and not leaving, this host included unless it drains.
    std::vector<Ports::HostId> readyMembers(Common::Instant now) const;
    /// Alive members; empty until this host has been a member for suspectAfter. Before, it may not have received any
    /// heartbeat, and each host that starts would consider itself the only member.
    std::vector<Ports::HostId> settledMembers(Common::Instant now);
    /// True when the connection to the host broke less than 3 s ago and no heartbeat has arrived since.
    bool recentlyDisconnected(const Ports::HostId&, Common::Instant now) const;
    /// The membership lease; nullopt when it isn't valid.
    std::optional<Decision::ViewLease> viewLease(Common::Instant now) const;

    const Settings& settings;
    const std::uint64_t incarnation;
    ControlPorts ports;
    RequestService& requests;
    WorkerPool& workers;
    Metrics& metrics;
    PlatformRunner runner;
    ObjectsValidator validator;

    std::mutex lock; ///< Guards everything below.
    std::unique_ptr<Decision::Membership> membership;
    std::unique_ptr<Decision::ConfigurationKeeper> keeper;
    std::unique_ptr<Decision::ConfigurationPublisher> publisher;
    std::unique_ptr<Decision::AuditTrail> auditTrail;
    AssignmentAgent assignments;
    FleetAgent fleet;

    std::vector<std::string> remoteDataCentres;
    std::shared_ptr<const Objects::ObjectSet> objects;
    std::map<std::uint64_t, PublishCallback> publishCallbacks; ///< By ticket.
    std::map<std::uint64_t, Decision::PublishRequest> publishRequests; ///< By ticket.
    std::uint64_t nextTicket = 1;
    std::map<Ports::HostId, Common::Instant> disconnectedAt;
    std::set<std::string> leavingUpstreams; ///< Addresses that the host list shows as leaving.
    std::uint64_t appliedEpoch = 0;
    std::uint64_t appliedPeersVersion = 0;
    bool peersApplied = false;
    std::vector<Ports::HostId> appliedAlive;
    std::map<std::string, std::vector<Decision::PoolUpstream>> appliedUpstreams;
    Common::Instant nextHostList {};
    std::vector<Messages::PoolLoad> loads;
    Common::Instant nextLoads {};
    std::optional<Common::Instant> memberSince;
    bool draining = false;
    bool ready = false;
    std::vector<std::string> notReadyBecause;
};

} // namespace Kernel
