#pragma once

/// Types shared by the parts of the request core: requests, actions, limits and guards.

#include "Common/Time.h"
#include "Messages/PeerMessages.h"
#include "Ports/CallerPort.h"
#include "Ports/UpstreamPort.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace Decision {

using Common::Instant;
using Common::WallTime;
using Ports::Answer;
using Ports::AttemptEnd;
using Ports::AttemptId;
using Ports::Bytes;
using Ports::CallerHandle;
using Ports::HostId;
using Ports::Outcome;
using Ports::Reason;

/// Identifies a request within one core; increases with arrival and is never reused.
using RequestNumber = std::uint64_t;

/// Safeguards that tests and experiments switch off to show which failure each one prevents. All are on in production.
struct RequestGuards {
    bool claimBeforeDispatch = true; ///< Non-idempotent requests are claimed before they are dispatched.
    bool allHoldersAnswer = true; ///< A claim must be granted by both holders, not just by the first to reply.
    bool viewEpochChecked = true; ///< Holders refuse claims made in another view.
    bool membershipExpiryChecked = true; ///< A holder answers for its records only while it is certain to be a member of the view.
    bool claimantTracksRuns = true; ///< A claimant never dispatches a key a second time.
    bool recordCoverageChecked = true; ///< Holders answer only for keys issued after their records became complete.
    bool notRunOnlyIfProved = true; ///< A request that may have run is never answered with NotRun.
    bool retryOnlyIfSafe = true; ///< Non-idempotent requests are retried only when it is proved that they didn't run.
    bool peerUseCounted = true; ///< Slots in use by peers count against an upstream's limit.
    bool deadlineAware = true; ///< Requests that can't meet their deadline are refused on arrival and dropped from the queue.
    bool priorityOrdered = true; ///< Lowest rank first; otherwise first come, first served.
    bool ejectionEnabled = true; ///< Upstreams that keep failing are ejected.
    bool harmfulRequestsBlocked = true; ///< Requests that crash several upstreams are refused.
};

/// Limits of the request core, taken from the settings of the host.
struct RequestLimits {
    std::chrono::milliseconds claimRetention { 600000 }; ///< Counted from the time stamp inside the key.
    std::chrono::milliseconds clockSkew { 2000 }; ///< Largest difference between the wall clocks of two hosts.
    std::chrono::milliseconds claimTimeout { 1000 }; ///< For the verdicts of all holders.
    std::chrono::milliseconds retryBase { 100 }; ///< Retry times are spread around the expected wait, but around twice this at least.
    std::chrono::milliseconds retryMaximum { 30000 }; ///< Longest retry time sent to refused callers.
    std::chrono::milliseconds harmfulRetention { 600000 }; ///< Counted from the last upstream lost.
    std::chrono::milliseconds peerUseRetention { 10000 }; ///< How long a peer's last report of slots in use stays valid.
    std::size_t queueFactor = 64; ///< Maximum queue length of a pool, in requests per slot.
    std::size_t maximumRecords = 100000; ///< Claim records kept by a holder.
    std::size_t maximumAnswerBytes = 32 << 20; ///< Total size of the answers kept by a holder.
    unsigned maximumHops = 3; ///< Forwards after which the receiving host handles the request itself.
    unsigned maximumAttempts = 3; ///< That may have run.
    unsigned harmfulLosses = 2; ///< Upstreams lost to one body before requests with it are refused.
    double retryRatio = 0.1; ///< Retries allowed per first attempt, apart from those of attempts that are proved not to have run.
};

/// The request was received from a caller that is connected to this host.
struct CallerSource {
    CallerHandle handle = 0;
};

/// The request was forwarded by another entry host, which awaits the answer.
struct PeerSource {
    HostId host;
    std::string requestId;
};

using Source = std::variant<CallerSource, PeerSource>;

/// State of a request on this host.
enum class RequestState {
    Forwarded, ///< Sent to the entry host that owns the pool.
    Queued,
    Claiming, ///< Waiting for the verdicts of the holders of its key, usually with a slot reserved.
    Running, ///< An attempt is in flight.
    Joined, ///< Waiting for the answer of an earlier request with the same key.
    Offloaded, ///< Claimed here and run by another data centre.
};

/// Open requests ordered by the time at which they time out.
using Timeouts = std::set<std::pair<Instant, RequestNumber>>;

/// A request, from arrival until its only answer is sent.
struct Request {
    RequestNumber number = 0;
    Source source;
    std::string requestId;
    std::string service;
    std::string pool;
    std::string team;
    std::string priority;
    unsigned rank = 0;
    std::string key; ///< Idempotency key as sent; empty for none.
    std::string homeDataCentre; ///< Data centre whose hosts keep the claim; empty if the request needs none.
    bool idempotent = false;
    bool mayHaveRun = false; ///< Once set, the request must not be answered with NotRun.
    Instant arrived {};
    Instant deadline {};
    Instant timeoutAt {}; ///< When it is answered without a result: the deadline, or earlier while it is queued.
    Timeouts::iterator timeoutEntry {}; ///< Its entry in the timeouts of the core.
    Bytes body;
    std::string contentType;
    std::uint64_t bodyHash = 0;
    unsigned hops = 0;
    unsigned attempts = 0;
    unsigned provedAttempts = 0; ///< The part of them that is proved not to have run.
    RequestState state = RequestState::Queued;
    HostId forwardedTo;
    AttemptId attempt = 0;
    Instant attemptStarted {};
    std::string upstream;
    std::uint64_t claimToken = 0;
    bool claimed = false;
    bool keyChecked = false; ///< The answer comes from a host that has checked the records of the key.
    bool cancelled = false; ///< The caller no longer needs the result.
    std::vector<std::string> tried; ///< Upstreams of earlier attempts.
    std::vector<RequestNumber> joined; ///< Later requests with the same key that wait for this one's answer.
};

/// Send the answer to a caller of this host.
struct AnswerCaller {
    CallerHandle handle = 0;
    Answer answer;
    std::string requestId {}; ///< Empty for a request that was refused before it got one.
};

/// Send a message to an entry host.
struct SendPeer {
    HostId to;
    Messages::PeerMessage message;
};

/// Start an attempt.
struct DispatchAttempt {
    Ports::UpstreamCall call;
};

/// Stop an attempt.
struct CancelAttempt {
    AttemptId attempt = 0;
};

using RequestAction = std::variant<AnswerCaller, SendPeer, DispatchAttempt, CancelAttempt>;

/// The entry hosts of the local data centre, as last agreed through the store.
struct LedgerView {
    std::uint64_t epoch = 0;
    std::vector<HostId> members;
};

/// An upstream that serves a pool.
struct PoolUpstream {
    std::string name;
    std::string address; ///< "ip:port".
    unsigned slots = 8; ///< Maximum concurrent attempts.

    bool operator==(const PoolUpstream&) const = default;
};

/// Builds an answer with outcome NotRun; `retryAfter` is zero when a retry would be pointless.
Answer notRun(Reason, std::chrono::milliseconds retryAfter = std::chrono::milliseconds(0));

/// Builds an answer with outcome Unknown; `retryAfter` is zero when a retry would be pointless.
Answer unknown(Reason, std::chrono::milliseconds retryAfter = std::chrono::milliseconds(0));

} // namespace Decision
