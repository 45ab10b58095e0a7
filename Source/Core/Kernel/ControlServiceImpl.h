#pragma once

/// State and steps of the control service. ControlService.cpp has the events, ControlEffects.cpp what follows from them.

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
    /// Takes a message between the control services of two hosts; the request core sees heartbeats too.
    void controlMessage(const Ports::HostId&, const Messages::PeerMessage&);
    void heartbeat(Common::Instant now, const Ports::HostId&, const Messages::Heartbeat&);
    void tick(Common::Instant now);
    void pump(Common::Instant now);
    template<typename Core>
    void carryOut(Core&, const PlatformReplies&);
    void carryOut(const Decision::Action&, const PlatformReplies&);
    void send(const Ports::HostId&, const Messages::PeerMessage&);
    template<typename Handler>
    PlatformReplies repliesTo(Handler);

    // Effects (ControlEffects.cpp).
    void adopt(const Decision::ConfigurationAdopted&);
    void applyAssignment(Common::Instant now);
    void applyMembership(Common::Instant now);
    void assignmentAsked(const Ports::HostId&, const Messages::AssignmentQuery&);
    void tickFleet(Common::Instant now);
    void hostsRead(Common::Instant now, const Decision::HostListReplied&);
    void updateUpstreams();
    void updateReadiness(Common::Instant now);
    void updateHeartbeat(Common::Instant now);
    void updatePeers();
    void finishPublications();
    void record(const std::string& who, const std::string& what, const std::string& why);
    /// Loads of the pools here, counted anew each half heartbeat: the count goes over every upstream.
    const std::vector<Messages::PoolLoad>& ownLoads(Common::Instant now);
    std::vector<Ports::HostId> readyMembers(Common::Instant now) const;
    /// Alive members, but nobody until this host had time to hear them: else each one that starts takes itself for the only one.
    std::vector<Ports::HostId> settledMembers(Common::Instant now);
    bool gone(const Ports::HostId&, Common::Instant now) const;
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

    std::vector<std::string> foreignDataCentres;
    std::shared_ptr<const Objects::ObjectSet> objects;
    std::map<std::uint64_t, PublishCallback> publications;
    std::map<std::uint64_t, Decision::PublishRequest> publishing;
    std::uint64_t nextTicket = 1;
    std::map<Ports::HostId, Common::Instant> disconnected;
    std::set<std::string> leavingUpstreams; ///< Addresses, by the host list.
    std::uint64_t appliedEpoch = 0;
    std::uint64_t appliedPeers = 0;
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
