#pragma once

/// State of a host of the job subsystem; see JobNode.

#include "Jobs/Runtime/FleetDuty.h"
#include "Jobs/Runtime/JobNode.h"
#include "Jobs/Runtime/PeerCalls.h"

#include <atomic>
#include <map>
#include <string>
#include <vector>

namespace Jobs {

/// Name of the duty that gives orders to machines; pools' names have no such sign.
constexpr const char* fleetDuty = "~fleet";

/// A host that is or was a member a while ago.
struct KnownPeer {
    std::string address;
    Common::Instant goneAt {}; ///< Zero for a member.
};

/// A caller's call that waits for its answer.
struct UnansweredCall {
    std::string id;
    Ports::JobVerb verb = Ports::JobVerb::Show;
    Common::Instant since {};
};

struct JobNode::State : std::enable_shared_from_this<JobNode::State> {
    State(const JobNodePorts&, JobNodeSettings);

    void start();
    void leave(std::function<void()> left);
    void handOver(Common::Instant limit, std::function<void()> left);

    // What operators and workers publish.
    void published(const Ports::KeyValue&);
    void unreadable(const std::string& kind, const std::string& key);
    void configure(JobConfiguration);
    void followWorkers();
    void workerChanged(const Ports::KeyValue&);
    void workerRemoved(const std::string& id);

    // Duties.
    Ownership::Hooks ownershipHooks();
    void acquired(const std::string& duty, Fence, Predecessor);
    void beginFleet(Fence, Predecessor);
    void lost(const std::string& duty);
    void drop(const std::string& duty);
    void shedPool();
    void handOverPool(const std::string& pool, Common::Instant limit);
    void membersChanged();

    // Peers.
    void frame(const std::string& from, const std::string& text);
    void poolCalled(const std::string& from, PoolCall);
    LoadCallAnswer loadAnswer(const LoadCall&);
    void askLoad(LoadCall, std::function<void(const LoadCallAnswer&)>);

    // Callers; in JobDoor.cpp.
    void logUnanswered() const;
    void called(Ports::JobCall, Ports::JobReply);
    void pass(const QueueRule&, const JobId&, Ports::JobCall, Ports::JobReply);
    void passToPeer(const std::string& host, const QueueRule&, const JobId&, Ports::JobCall, Ports::JobReply);

    JobNodePorts ports;
    Common::TaskLoop& loop;
    JobNodeSettings settings;
    std::unique_ptr<JobMetrics> metrics;
    std::map<std::uint64_t, UnansweredCall> unanswered; ///< In the order of their arrival; outlives the owners, who answer last.
    std::uint64_t lastCall = 0;
    PeerCalls peerCalls;
    std::unique_ptr<PrefixFeed> operatorFeed;
    std::unique_ptr<PrefixFeed> workerFeed; ///< Since the first duty.
    JobConfiguration configuration;
    std::map<std::uint64_t, MaintenanceWave> waves;
    std::map<std::string, WorkerEntry> workers;
    std::map<std::string, std::unique_ptr<PoolOwner>> owners;
    std::unique_ptr<FleetDuty> fleet;
    Fence cordonFence = 0; ///< Highest of the holders of the fleet's duty that called.
    std::map<std::string, KnownPeer> knownPeers;
    std::vector<Ports::PeerAddress> dialledPeers;
    bool isShedding = false; ///< A pool is being handed over.
    bool isAbandoned = false;
    std::atomic<bool> isConfigured { false };
    std::atomic<bool> isLeaving { false };
    Ownership ownership; ///< Last: its hooks use the others.
};

} // namespace Jobs
