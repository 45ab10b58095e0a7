#pragma once

/// Values that the parts of the request core share: requests, actions, limits and guards.

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

/// Identity of a request inside one core; never reused.
using RequestNumber = std::uint64_t;

/// Safeguards that tests switch off to show which failure each one prevents. Always on in the product.
struct RequestGuards {
    bool claimBeforeDispatch = true; ///< Non-idempotent requests are claimed before they are dispatched.
    bool allHoldersAnswer = true; ///< A claim needs both holders, not just the first.
    bool viewEpochChecked = true; ///< Holders refuse claims of another view.
    bool vouchTimeChecked = true; ///< A holder speaks for its records only while it surely stands in the view.
    bool claimantRemembers = true; ///< A claimant never dispatches a key a second time.
    bool memoryVouched = true; ///< Holders answer only for keys issued after their memory began.
    bool notRunOnlyIfProved = true; ///< A request that may have run is never answered with NotRun.
    bool retryOnlyIfSafe = true; ///< Non-idempotent requests are retried only when proved not run.
    bool peerUseCounted = true; ///< Slots in use by peers count against an upstream's limit.
    bool deadlineAware = true; ///< Admission and queue refuse what can't be met.
    bool priorityOrdered = true; ///< Lowest rank first; else first come, first served.
    bool ejectionEnabled = true; ///< Upstreams that fail every task get no more.
    bool harmfulSetAside = true; ///< Requests that break several upstreams are refused.
};

/// Bounds of the request core. Every duration and size is a setting of the host.
struct RequestLimits {
    std::chrono::milliseconds claimRetention { 600000 }; ///< Counted from the key's own time stamp.
    std::chrono::milliseconds clockSkew { 2000 }; ///< Largest difference of two wall clocks.
    std::chrono::milliseconds claimTimeout { 1000 };
    std::chrono::milliseconds retryBase { 100 }; ///< Shortest time told to a refused caller.
    std::chrono::milliseconds retryMaximum { 30000 };
    std::chrono::milliseconds harmfulRetention { 600000 };
    std::chrono::milliseconds foreignUseRetention { 10000 }; ///< How long the last reported slots of a silent peer count.
    std::size_t queueFactor = 64; ///< Longest queue of a pool, in requests for each slot.
    std::size_t maximumRecords = 100000; ///< Claims kept by a holder.
    std::size_t maximumAnswerBytes = 32 << 20; ///< Answers kept by a holder, all together.
    unsigned maximumHops = 3;
    unsigned maximumAttempts = 3;
    unsigned harmfulLosses = 2; ///< Upstreams lost to one body before it is set aside.
    double retryRatio = 0.1; ///< Retries allowed for each first attempt.
};

/// The caller's connection ends at this host.
struct CallerSource {
    CallerHandle handle = 0;
};

/// Another entry host waits for the answer.
struct PeerSource {
    HostId host;
    std::string requestId;
};

using Source = std::variant<CallerSource, PeerSource>;

/// Where a request stands on this host.
enum class RequestState {
    Forwarded, ///< An entry host that owns the pool has it.
    Queued,
    Claiming, ///< Holds a slot while the holders of its key are asked.
    Running, ///< An attempt is out.
    Joined, ///< Waits for an earlier request of the same key.
    PassedOn, ///< Another data centre runs it for this one.
};

/// Open requests by the time at which each is given up, earliest first.
using GiveUps = std::set<std::pair<Instant, RequestNumber>>;

/// A request from arrival to its one answer.
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
    std::string homeDataCentre; ///< Whose hosts keep the claim.
    bool idempotent = false;
    bool mayHaveRun = false; ///< Once set, NotRun is no longer true.
    Instant arrived {};
    Instant deadline {};
    Instant giveUpAt {}; ///< When it is answered without a result: the deadline, or earlier while it still waits.
    GiveUps::iterator giveUpEntry {}; ///< Its place among the give-ups of the core that holds it.
    Bytes body;
    std::string contentType;
    std::uint64_t bodyHash = 0;
    unsigned hops = 0;
    unsigned attempts = 0;
    RequestState state = RequestState::Queued;
    HostId forwardedTo;
    AttemptId attempt = 0;
    Instant attemptStarted {};
    std::string upstream;
    std::uint64_t claimToken = 0;
    bool claimed = false;
    bool vouched = false; ///< The answer comes from a host that checked the records of the key.
    bool cancelled = false; ///< Nobody waits for the answer any more.
    std::vector<std::string> tried; ///< Upstreams that an earlier attempt went to.
    std::vector<RequestNumber> joined; ///< Later requests of the same key that wait for this one.
};

/// Answer a caller of this host.
struct AnswerCaller {
    CallerHandle handle = 0;
    Answer answer;
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

/// The entry hosts of the own data centre as last agreed through the store.
struct LedgerView {
    std::uint64_t epoch = 0;
    std::vector<HostId> members;
};

/// An upstream as the request core sees it.
struct PoolUpstream {
    std::string name;
    std::string address;
    unsigned slots = 8;

    bool operator==(const PoolUpstream&) const = default;
};

/// Builds a NotRun answer.
Answer notRun(Reason, std::chrono::milliseconds retryAfter = std::chrono::milliseconds(0));

/// Builds an Unknown answer.
Answer unknown(Reason, std::chrono::milliseconds retryAfter = std::chrono::milliseconds(0));

} // namespace Decision
