#pragma once

/// The request path of one entry host, without I/O: events go in with the time they came at, actions come out.
/// Adapters carry the actions out; tests and the bench drive the same class in virtual time.

#include "Decision/Requests/RequestTypes.h"
#include "Decision/Requests/SlotTable.h"
#include "Objects/Types.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Decision {

/// Who this host is.
struct RequestIdentity {
    HostId self;
    std::string dataCentre;
    std::uint64_t incarnation = 0; ///< Random for every start; tells claims of an earlier start from this one's.
    std::uint64_t seed = 0; ///< Of the spread of retry times.
};

using Common::Moment;

/// Counts of what happened, for metrics and experiments.
struct RequestCounts {
    std::uint64_t attempts = 0;
    std::uint64_t retries = 0;
    std::uint64_t claims = 0;
    std::uint64_t forwards = 0;
    std::uint64_t passedOn = 0;
};

/// Admission, queues, slots, claims, retries and forwarding. Not thread-safe: the kernel calls it under its lock.
class RequestCore {
public:
    static std::unique_ptr<RequestCore> create(RequestIdentity, const RequestLimits&, const RequestGuards& = {});
    ~RequestCore();
    RequestCore(const RequestCore&) = delete;
    RequestCore& operator=(const RequestCore&) = delete;

    /// The configuration in force.
    void setConfiguration(Moment, std::shared_ptr<const Objects::ObjectSet>, std::uint64_t revision);

    /// Upstreams that serve the pool in the own data centre at present.
    void setUpstreams(Moment, const std::string& pool, const std::vector<PoolUpstream>&);

    /// Which upstreams may be used; asked right before each attempt. All may be, by default.
    void setMayDispatch(MayDispatch);

    /// The agreed members of the own data centre, for claims. Only views that hold this incarnation may be set.
    void setView(Moment, const LedgerView&);

    /// Until when this host surely isn't taken out of the agreed members, by its lease or by what its removal needs
    /// besides. Past it, the host neither grants claims nor speaks for its records. For ever until first set.
    void setVouchUntil(Instant now, Instant until);

    /// Hosts of the own data centre that answer heartbeats and aren't leaving, this one included; for ownership of pools.
    void setAlive(Moment, std::vector<HostId>);

    /// Hosts of another data centre that answer heartbeats.
    void setRemote(const std::string& dataCentre, std::vector<HostId>);

    /// A caller's request; answered by exactly one AnswerCaller unless the caller goes first.
    void onCallerRequest(Moment, const Ports::CallerRequest&);
    void onCallerDisconnected(Moment, CallerHandle);
    /// True when a request of that key was waiting or running here.
    bool cancelByKey(Moment, const std::string& team, const std::string& key);

    void peerMessage(Moment, const HostId& from, const Messages::PeerMessage&);
    void peerLost(Moment, const HostId&);
    void onAttemptEnded(Moment, const Ports::UpstreamResult&);

    /// To be called at nextDeadline() at the latest.
    void tick(Moment);
    std::optional<Instant> nextDeadline() const;

    /// Actions since the last call, in order.
    std::vector<RequestAction> takeActions();

    /// How busy the pools are here, for heartbeats.
    std::vector<Messages::PoolLoad> loads(Instant now) const;

    /// True once records of every pool that this host keeps are whole.
    bool memoryWhole(WallTime now) const;

    std::size_t open() const; ///< Requests without an answer.
    std::size_t attemptsOut() const; ///< Attempts without an end.
    std::size_t ledgerRecords() const;
    unsigned attemptsOn(const std::string& upstream) const;
    RequestCounts counts() const;

private:
    class Impl;
    explicit RequestCore(std::unique_ptr<Impl>);
    std::unique_ptr<Impl> m_impl;
};

} // namespace Decision
