#pragma once

/// Request path of one entry host, without I/O or clock: events are passed in with their time, actions are returned.
/// RequestService executes the actions through the adapters; tests and benchmarks run the same class in virtual time.

#include "Decision/Requests/RequestTypes.h"
#include "Decision/Requests/SlotTable.h"
#include "Objects/Types.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Decision {

/// Identity of this host.
struct RequestIdentity {
    HostId self;
    std::string dataCentre;
    std::uint64_t incarnation = 0; ///< Random for every start of the process; distinguishes its claims from those of earlier starts.
    std::uint64_t seed = 0; ///< Seed for the jitter of retry times.
};

using Common::Moment;

/// Event counters since the start, for metrics and experiments.
struct RequestCounts {
    std::uint64_t attempts = 0;
    std::uint64_t retries = 0;
    std::uint64_t claims = 0;
    std::uint64_t forwards = 0;
    std::uint64_t offloaded = 0; ///< Requests handed to another data centre.
};

/// Admission, queues, slots, claims, retries and forwarding. Not thread-safe: RequestService calls it under its lock. Every
/// event may produce actions, which the caller fetches with takeActions().
class RequestCore {
public:
    static std::unique_ptr<RequestCore> create(RequestIdentity, const RequestLimits&, const RequestGuards& = {});
    ~RequestCore();
    RequestCore(const RequestCore&) = delete;
    RequestCore& operator=(const RequestCore&) = delete;

    /// Sets the active configuration. Until the first call, all requests are answered with NotReady.
    void setConfiguration(Moment, std::shared_ptr<const Objects::ObjectSet>, std::uint64_t revision);

    /// Sets the upstreams that currently serve the pool in the local data centre.
    void setUpstreams(Moment, const std::string& pool, const std::vector<PoolUpstream>&);

    /// Sets the predicate that is evaluated before each attempt. By default every upstream may be used.
    void setMayDispatch(MayDispatch);

    /// Sets the agreed members of the local data centre, which determine the holders of claims. Must only be called with
    /// views that contain this incarnation of the host.
    void setView(Moment, const LedgerView&);

    /// Sets the time until which this host can't be removed from the agreed members, as guaranteed by its lease and the other
    /// conditions for a removal. Past that time, the host neither grants claims nor answers from its records. Unlimited until
    /// the first call.
    void setMembershipValidUntil(Instant now, Instant until);

    /// Sets the hosts of the local data centre that answer heartbeats and aren't leaving, including this one. They determine
    /// the owner of each pool.
    void setAlive(Moment, std::vector<HostId>);

    /// Sets the hosts of another data centre that answer heartbeats.
    void setRemoteHosts(const std::string& dataCentre, std::vector<HostId>);

    /// Handles a request from a caller; answered by exactly one AnswerCaller unless the caller disconnects first.
    void onCallerRequest(Moment, const Ports::CallerRequest&);

    /// The caller disconnected. A claimed request keeps running, because the caller may retry it with its key.
    void onCallerDisconnected(Moment, CallerHandle);

    /// Cancels all requests with the key, including claimed ones. Returns true when any was queued or running here.
    bool cancelByKey(Moment, const std::string& team, const std::string& key);

    void peerMessage(Moment, const HostId& from, const Messages::PeerMessage&);

    /// The connection to a peer is lost: requests forwarded to it are retried or answered with Unknown, claims that await it
    /// are refused, and requests received from it are treated as after onCallerDisconnected().
    void peerLost(Moment, const HostId&);

    /// Handles the result of an attempt; each DispatchAttempt must be followed by exactly one.
    void onAttemptEnded(Moment, const Ports::UpstreamResult&);

    /// Handles timeouts. Must be called at nextDeadline() at the latest; earlier calls are harmless.
    void tick(Moment);
    std::optional<Instant> nextDeadline() const;

    /// Returns the actions produced since the last call, in the order in which they must be executed.
    std::vector<RequestAction> takeActions();

    /// Load of the pools on this host, for heartbeats.
    std::vector<Messages::PoolLoad> loads(Instant now) const;

    /// True once this host can answer for new keys of every pool that it is a holder of. Part of readiness.
    bool recordsComplete(WallTime now) const;

    std::size_t open() const; ///< Requests without an answer.
    std::size_t attemptsInFlight() const; ///< Attempts without a result, including those of requests already answered.
    std::size_t ledgerRecords() const; ///< Claim records kept as a holder.
    unsigned attemptsOn(const std::string& upstream) const; ///< Attempts in flight on the upstream.
    RequestCounts counts() const;

private:
    class Impl;
    explicit RequestCore(std::unique_ptr<Impl>);
    std::unique_ptr<Impl> m_impl;
};

} // namespace Decision
