#pragma once

/// Internal state of JobNode.

#include "Jobs/Decision/StoreSilence.h"
#include "Jobs/Runtime/EventLimiter.h"
#include "Jobs/Runtime/FleetDuty.h"
#include "Jobs/Runtime/JobNode.h"
#include "Jobs/Runtime/PeerCalls.h"

#include <atomic>
#include <map>
#include <string>
#include <vector>

namespace Jobs {

/// Name of the fleet duty, whose holder sends orders to machines. Names of pools contain no "~".
constexpr const char* fleetDuty = "~fleet";

/// A host that is a member or was one until recently.
struct KnownPeer {
    std::string address;
    Common::Instant departedAt {}; ///< Zero while the host is a member.
};

/// A caller's call that isn't answered yet.
struct UnansweredCall {
    std::string id;
    Ports::JobVerb verb = Ports::JobVerb::Show;
    Common::Instant since {};
};

struct JobNode::State : std::enable_shared_from_this<JobNode::State> {
    State(const JobNodePorts&, JobNodeSettings);

    void start();
    void leave(std::function<void()> onLeft);
    void handOverDuties(Common::Instant limit, std::function<void()> onLeft);

    // Entries published by operators and workers.
    void onPublished(const Ports::KeyValue&);
    void reportUnreadable(const std::string& kind, const std::string& key);
    void configure(JobConfiguration);
    void watchWorkers();
    void onWorkerChanged(const Ports::KeyValue&);
    void onWorkerRemoved(const std::string& id);

    // Duties.
    Ownership::Hooks ownershipHooks();
    void onDutyAcquired(const std::string& duty, Fence, Predecessor);
    void startFleetDuty(Fence, Predecessor);
    void onDutyLost(const std::string& duty);
    void dropDuty(const std::string& duty);
    void handOverOnePool();
    void handOverPool(const std::string& pool, Common::Instant limit);
    void scheduleRetirement();
    void retirePools();
    void onMembersChanged();

    // Peers.
    void onFrame(const std::string& from, const std::string& text);
    void handlePoolCall(const std::string& from, PoolCall);
    LoadCallAnswer answerLoadCall(const LoadCall&);
    void requestLoad(LoadCall, std::function<void(const LoadCallAnswer&)>);

    // Calls of callers; in JobNodeCalls.cpp.
    void logUnanswered() const;
    void handleCall(Ports::JobCall, Ports::JobReply);
    void routeCall(const QueueRule&, const JobId&, Ports::JobCall, Ports::JobReply);
    /// Hands the call to the pool's owner, on this host or on a peer.
    void callPool(PoolCall, milliseconds timeout, Ports::JobReply);

    JobNodePorts ports;
    Common::TaskLoop& loop;
    JobNodeSettings settings;
    EventLimiter limiter { "node" }; ///< For entries and frames that couldn't be read.
    std::unique_ptr<JobMetrics> metrics;
    std::map<std::uint64_t, UnansweredCall> unansweredCalls; ///< In order of arrival. Outlives the owners, which answer calls on destruction.
    std::uint64_t lastCall = 0;
    PeerCalls peerCalls;
    StoreSilence storeSilence; ///< By the calls of this host's lease and of its pools' journals.
    std::unique_ptr<PrefixFeed> operatorFeed;
    std::unique_ptr<PrefixFeed> workerFeed; ///< Null until the first pool is acquired.
    JobConfiguration configuration;
    std::map<std::uint64_t, MaintenanceWave> waves;
    std::map<std::string, WorkerEntry> workers;
    std::map<std::string, std::unique_ptr<PoolOwner>> owners;
    std::unique_ptr<FleetDuty> fleet;
    Fence cordonFence = 0; ///< Highest fencing token of a fleet duty holder that has sent a load call.
    std::map<std::string, KnownPeer> knownPeers;
    std::vector<Ports::PeerAddress> connectedPeers;
    bool isHandingOverPool = false; ///< One pool is being handed over because this host is overloaded.
    Common::TaskLoop::TimerId retirementTimer = 0;
    bool isAbandoned = false;
    std::atomic<bool> isConfigured { false };
    std::atomic<bool> isLeaving { false };
    Ownership ownership; ///< Declared last, as its hooks use the other members.
};

} // namespace Jobs
