#pragma once

/// State and steps of the request core. The steps are spread over files by job:
/// RequestCore.cpp (events), RequestAnswers.cpp (the one answer), RequestRouting.cpp (owners, peers), RequestPools.cpp (admission, queue, slots),
/// RequestAttempts.cpp (ends and retries), RequestClaims.cpp (at most once).

#include "Common/Rendezvous.h"
#include "Decision/Requests/ClaimRounds.h"
#include "Decision/Requests/Door.h"
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
        bool pumping = false; ///< Keeps the pump from running inside itself.
    };

    /// An attempt that is out, kept until it ends even when its request was answered before.
    struct AttemptOut {
        RequestNumber request = 0;
        std::string pool;
        std::string team;
        std::string service;
        std::string upstream;
        Instant started {};
    };

    /// What another data centre last said of itself.
    struct RemoteState {
        std::vector<HostId> hosts;
        std::map<std::string, Messages::PoolLoad> loads;
        Instant heard {};
    };

    /// Expected wait of a new request, and whether its team's quota is the cause.
    struct WaitEstimate {
        std::chrono::microseconds wait { 0 };
        bool quotaBound = false;
    };

    // Events and bookkeeping (RequestCore.cpp).
    Request& add(Request);
    Request* find(RequestNumber);
    void setGiveUp(Request&, Instant);
    /// What a caller's and a peer's request have in common; `arrival` is one of the two.
    template<typename Arrival>
    static Request requestFrom(Moment, const Arrival&, const Admitted&);
    void arriveFromCaller(Moment, const Ports::CallerRequest&);
    void erase(RequestNumber);
    void forgetKey(const Request&);
    void tick(Moment);

    // Answers (RequestAnswers.cpp).
    void abandon(Moment, Request&, bool explicitly);
    void conclude(Moment, RequestNumber, Answer);
    Answer truthful(Moment, const Request&, Answer) const;
    void reply(const Request&, const Answer&);
    void giveUp(Moment, Request&);

    // Routing (RequestRouting.cpp).
    void route(Moment, Request&);
    void forward(Moment, Request&, const HostId&);
    HostId ownerOf(const std::string& pool) const;
    void arriveFromPeer(Moment, const HostId&, const Messages::ForwardRequest&);
    void answerFromPeer(Moment, const HostId&, const Messages::ForwardAnswer&);
    void cancelFromPeer(Moment, const HostId&, const Messages::ForwardCancel&);
    void lostForwarded(Moment, Request&);
    void heartbeat(Moment, const HostId&, const Messages::Heartbeat&);
    void peerLost(Moment, const HostId&);
    std::optional<HostId> helpElsewhere(Moment, const Request&, std::chrono::microseconds ownWait) const;
    void passOn(Moment, Request&, const HostId&);

    // Pools (RequestPools.cpp).
    PoolState& pool(const std::string& name);
    void own(Moment, Request&);
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
    void giveUpQueued(Moment, Request&);

    // Attempts (RequestAttempts.cpp).
    void dispatch(Moment, Request&);
    void freeSlot(const std::string& poolName, const std::string& upstream, const std::string& team);
    void onAttemptEnded(Moment, const Ports::UpstreamResult&);
    void judgeHealth(Moment, const AttemptOut&, const Ports::UpstreamResult&);
    void decide(Moment, Request&, const Ports::UpstreamResult&);
    bool mayRetry(Moment, const Request&, bool proved);
    void retry(Moment, Request&);

    // Claims (RequestClaims.cpp).
    bool needsClaim(const Request&) const;
    Messages::ClaimKey claimKeyOf(const Request&) const;
    void beginClaim(Moment, Request&);
    void askHolders(Moment, ClaimRound);
    LedgerVerdict judgeClaim(Moment, const HostId& from, const Messages::ClaimRequest&);
    bool askAllMembers(Moment, ClaimRound&, Messages::ClaimVerdict);
    void claimVerdict(Moment, const HostId& from, std::uint64_t token, const LedgerVerdict&);
    void claimRefused(Moment, std::uint64_t token, const LedgerVerdict&);
    void claimGranted(Moment, std::uint64_t token);
    void claimTurnedDown(Moment, std::uint64_t token, Messages::ClaimVerdict);
    void tellFinished(const ClaimRound&, const Answer&);
    LedgerVerdict lookUp(Moment, const Request&) const;
    bool mayVouch(Instant now) const;
    bool holdersAreSlow(const std::string& pool) const;
    void expireClaims(Moment);
    bool runsForHome(const Request&) const;
    void dropClaim(const ClaimRound&, std::uint64_t token);
    void freeHeldSlot(ClaimRound&);
    void settleClaim(const Request&, const Answer&);
    void rememberRun(const Request&);
    void forgetRuns(WallTime now);
    void claimAsked(Moment, const HostId&, const Messages::ClaimRequest&);
    void askHandovers(Instant now);

    void act(RequestAction action) { m_actions.push_back(std::move(action)); }
    void send(const HostId& to, Messages::PeerMessage message) { act(SendPeer { to, std::move(message) }); }

    RequestIdentity m_identity;
    RequestLimits m_limits;
    RequestGuards m_guards;
    std::mt19937_64 m_random;
    std::shared_ptr<const Objects::ObjectSet> m_objects;
    mutable const std::pair<const std::string, Objects::Service>* m_latestService = nullptr; ///< Of m_objects.
    std::uint64_t m_revision = 0;
    std::vector<std::string> m_dataCentres;
    std::vector<std::string> m_poolNames;
    MayDispatch m_mayDispatch;

    std::vector<HostId> m_alive;
    mutable std::unordered_map<std::string, HostId> m_owners; ///< By pool, as m_alive makes it.
    std::map<std::string, RemoteState> m_remotes;
    Ledger m_ledger;
    ClaimRounds m_rounds;
    std::set<Messages::ClaimKey> m_ran; ///< Claimed keys that this start of the host has dispatched or passed on.
    std::multimap<WallTime, Messages::ClaimKey> m_ranByIssue;
    std::set<HostId> m_silentHolders; ///< Let a claim expire and have answered none since.
    std::optional<Instant> m_vouchUntil;
    bool m_stayedMember = false; ///< m_vouchUntil hasn't lapsed since the view was set.
    RunTimes m_runTimes;
    HarmfulRequests m_harmful;
    std::map<std::string, PoolState> m_pools;
    std::pair<const std::string, PoolState>* m_latestPool = nullptr; ///< Of m_pools, which never drops one.

    std::unordered_map<RequestNumber, Request> m_requests;
    GiveUps m_giveUps;
    std::unordered_map<CallerHandle, RequestNumber> m_byCaller;
    std::unordered_map<std::string, RequestNumber> m_byRequestId; ///< Forwarded from here, by the id sent along.
    std::map<std::pair<HostId, std::string>, RequestNumber> m_byPeer; ///< Forwarded to here.
    std::map<Messages::ClaimKey, RequestNumber> m_byKey; ///< First open request of a key that this host runs.
    std::multimap<std::pair<std::string, std::string>, RequestNumber> m_byTeamKey; ///< For cancelling by key.
    std::unordered_map<AttemptId, AttemptOut> m_attempts;
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
