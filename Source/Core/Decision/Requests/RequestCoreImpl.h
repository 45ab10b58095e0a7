#pragma once

/// Implementation of the request core. Its functions are split over several files:
/// RequestCore.cpp (events), RequestAnswers.cpp (answers), RequestRouting.cpp (owners, peers), RequestPools.cpp (admission, queue, slots),
/// RequestAttempts.cpp (results and retries), RequestClaims.cpp (at-most-once execution).

#include "Common/Rendezvous.h"
#include "Decision/Requests/Admission.h"
#include "Decision/Requests/ClaimRounds.h"
#include "Decision/Requests/FairQueue.h"
#include "Decision/Requests/HarmfulRequests.h"
#include "Decision/Requests/Ledger.h"
#include "Decision/Requests/RequestCore.h"
#include "Decision/Requests/RetryBudget.h"
#include "Decision/Requests/RunTimes.h"

#include <map>
#include <random>
#include <set>
#include <unordered_map>
#include <utility>

namespace Decision {

class RequestCore::Impl {
public:
    Impl(RequestIdentity, const RequestLimits&, const RequestGuards&);

    struct PoolState {
        PoolState(const std::string& name, const RequestLimits&, const RequestGuards&);

        FairQueue queue;
        SlotTable slots;
        RetryBudget retries;
        bool pumping = false; ///< Prevents reentrant calls of pump().
    };

    /// An attempt in flight. Kept until its result arrives, even if its request is answered earlier.
    struct InFlightAttempt {
        RequestNumber request = 0;
        std::string pool;
        std::string team;
        std::string service;
        std::string upstream;
        Instant started {};
        bool cancelledByCaller = false;
    };

    /// State of another data centre, from its heartbeats.
    struct RemoteState {
        std::vector<HostId> hosts;
        std::map<std::string, Messages::PoolLoad> loads;
        Instant lastHeartbeat {};
    };

    /// Expected wait of a new request.
    struct WaitEstimate {
        std::chrono::microseconds wait { 0 };
        bool quotaBound = false; ///< The wait is determined by the team's slot quota.
    };

    // Events and bookkeeping (RequestCore.cpp).
    Request& add(Request);
    Request* find(RequestNumber);
    void setTimeout(Request&, Instant);
    /// Builds a request from the fields that Ports::CallerRequest and Messages::ForwardRequest have in common.
    template<typename Arrival>
    static Request requestFrom(Moment, const Arrival&, const Admitted&);
    void acceptFromCaller(Moment, const Ports::CallerRequest&);
    void erase(RequestNumber);
    void removeKey(const Request&);
    void tick(Moment);

    // Answers (RequestAnswers.cpp).
    void handleCallerCancel(Moment, Request&, bool explicitly);
    void complete(Moment, RequestNumber, Answer);
    Answer withProvedOutcome(Moment, const Request&, Answer) const;
    void reply(const Request&, const Answer&);
    void onTimeout(Moment, Request&);

    // Routing (RequestRouting.cpp).
    void route(Moment, Request&);
    void forward(Moment, Request&, const HostId&);
    HostId ownerOf(const std::string& pool) const;
    void acceptFromPeer(Moment, const HostId&, const Messages::ForwardRequest&);
    void handleForwardAnswer(Moment, const HostId&, const Messages::ForwardAnswer&);
    void handleForwardCancel(Moment, const HostId&, const Messages::ForwardCancel&);
    void handleLostForward(Moment, Request&);
    void handleHeartbeat(Moment, const HostId&, const Messages::Heartbeat&);
    void peerLost(Moment, const HostId&);
    std::optional<HostId> findOffloadTarget(Moment, const Request&, std::chrono::microseconds ownWait) const;
    void offload(Moment, Request&, const HostId&);

    // Pools (RequestPools.cpp).
    PoolState& pool(const std::string& name);
    void handleAsOwner(Moment, Request&);
    bool joinEarlier(Moment, Request&);
    bool answeredByLedger(Moment, Request&);
    void admit(Moment, Request&);
    void refuse(Moment, Request&, Reason, std::chrono::microseconds wait);
    void enqueue(Request&);
    void pump(Moment, const std::string& pool);
    void startNext(Moment, PoolState&, Request&);
    WaitEstimate waitOf(Instant now, const Request&, const PoolState&, TeamShare, unsigned usableSlots) const;
    TeamShare shareOf(const std::string& team) const;
    const Objects::Service* serviceOf(const std::string& name) const;
    std::chrono::microseconds declaredRunTime(const std::string& service) const;
    std::chrono::microseconds longestRunTime(const std::string& pool) const;
    std::chrono::milliseconds retryTime(std::chrono::microseconds wait);
    void rejectQueued(Moment, Request&);

    // Attempts (RequestAttempts.cpp).
    void dispatch(Moment, Request&);
    void freeSlot(const std::string& poolName, const std::string& upstream, const std::string& team);
    void onAttemptEnded(Moment, const Ports::UpstreamResult&);
    void recordHealth(Moment, const InFlightAttempt&, const Ports::UpstreamResult&);
    void handleResult(Moment, Request&, const Ports::UpstreamResult&);
    bool mayRetry(Moment, const Request&, bool proved);
    void retry(Moment, Request&);

    // Claims (RequestClaims.cpp): the round of a claim ends in finishGrantedClaim() or finishRefusedClaim().
    bool needsClaim(const Request&) const;
    Messages::ClaimKey claimKeyOf(const Request&) const;
    void beginClaim(Moment, Request&);
    void sendClaim(Moment, ClaimRound);
    LedgerVerdict evaluateClaim(Moment, const HostId& from, const Messages::ClaimRequest&);
    bool retryWithAllMembers(Moment, ClaimRound&, Messages::ClaimVerdict);
    void handleClaimVerdict(Moment, const HostId& from, std::uint64_t token, const LedgerVerdict&);
    void finishRefusedClaim(Moment, std::uint64_t token, const LedgerVerdict&);
    void finishGrantedClaim(Moment, std::uint64_t token);
    void deferRefusal(Moment, std::uint64_t token, Messages::ClaimVerdict);
    void announceFinished(const ClaimRound&, const Answer&);
    LedgerVerdict lookUp(Moment, const Request&) const;
    bool isMembershipValid(Instant now) const;
    bool hasUnresponsiveHolder(const std::string& pool) const;
    void expireClaims(Moment);
    bool isOffloadedHere(const Request&) const;
    void releaseClaim(const ClaimRound&, std::uint64_t token);
    void freeHeldSlot(ClaimRound&);
    void settleClaim(const Request&, const Answer&);
    void recordRun(const Request&);
    void pruneRuns(WallTime now);
    void handleClaimRequest(Moment, const HostId&, const Messages::ClaimRequest&);
    void sendLedgerQueries(Instant now);

    void addAction(RequestAction action) { m_actions.push_back(std::move(action)); }
    void send(const HostId& to, Messages::PeerMessage message) { addAction(SendPeer { to, std::move(message) }); }

    RequestIdentity m_identity;
    RequestLimits m_limits;
    RequestGuards m_guards;
    std::mt19937_64 m_random;
    std::shared_ptr<const Objects::ObjectSet> m_objects;
    mutable const std::pair<const std::string, Objects::Service>* m_latestService = nullptr; ///< Cache of the last lookup in m_objects.
    std::uint64_t m_revision = 0;
    std::vector<std::string> m_dataCentres;
    std::vector<std::string> m_poolNames;
    MayDispatch m_mayDispatch;

    std::vector<HostId> m_alive;
    mutable std::unordered_map<std::string, HostId> m_owners; ///< Owner by pool; cleared when m_alive changes.
    std::map<std::string, RemoteState> m_remotes;
    Ledger m_ledger;
    ClaimRounds m_rounds;
    std::set<Messages::ClaimKey> m_runKeys; ///< Claimed keys that this incarnation has dispatched or offloaded.
    std::multimap<WallTime, Messages::ClaimKey> m_runKeysByIssue;
    std::set<HostId> m_unresponsiveHolders; ///< Holders that let a claim time out and haven't replied to any claim since.
    std::optional<Instant> m_membershipValidUntil;
    bool m_stayedMember = false; ///< m_membershipValidUntil hasn't passed since the view was set.
    RunTimes m_runTimes;
    HarmfulRequests m_harmful;
    std::map<std::string, PoolState> m_pools;
    std::pair<const std::string, PoolState>* m_latestPool = nullptr; ///< Cache of the last lookup in m_pools, which never shrinks.

    std::unordered_map<RequestNumber, Request> m_requests;
    Timeouts m_timeouts;
    std::unordered_map<CallerHandle, RequestNumber> m_byCaller;
    std::unordered_map<std::string, RequestNumber> m_byRequestId; ///< Requests forwarded to peers, by the id sent along.
    std::map<std::pair<HostId, std::string>, RequestNumber> m_byPeer; ///< Requests received from peers, by their id.
    std::map<Messages::ClaimKey, RequestNumber> m_byKey; ///< First open request of each key that this host runs.
    std::multimap<std::pair<std::string, std::string>, RequestNumber> m_byTeamKey; ///< For cancellation by key.
    std::unordered_map<AttemptId, InFlightAttempt> m_attempts;
    RequestNumber m_nextRequest = 1;
    AttemptId m_nextAttempt = 1;
    Instant m_nextHousekeeping {};
    Instant m_nextQueries {};
    std::vector<RequestAction> m_actions;
    RequestCounts m_counts;
};

template<typename Arrival>
Request RequestCore::Impl::requestFrom(Moment at, const Arrival& arrival, const Admitted& admitted)
{
    Request request;
    request.service = arrival.service;
    request.pool = admitted.pool;
    request.team = arrival.team;
    request.priority = arrival.priority;
    request.rank = admitted.rank;
    request.idempotent = arrival.idempotent;
    request.arrived = at.now;
    request.body = arrival.body;
    request.contentType = arrival.contentType;
    const auto body = arrival.body ? std::string_view(*arrival.body) : std::string_view();
    request.bodyHash = Common::hash64(body, Common::hash64(arrival.service));
    return request;
}

} // namespace Decision
