#pragma once

/// Port for callers: delivers their requests and sends exactly one answer to each.

#include "Common/Registry.h"
#include "Common/Time.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace Ports {

/// Shared, immutable body of a request or an answer.
using Bytes = std::shared_ptr<const std::string>;

/// Identifies a caller's request within this process; never reused.
using CallerHandle = std::uint64_t;

/// A well-formed request of a caller. The adapter rejects malformed requests itself with a 4xx status.
struct CallerRequest {
    CallerHandle handle = 0;
    std::string service;
    std::string team;
    std::string priority;
    std::string idempotencyKey; ///< As sent; empty if the caller sent none.
    bool idempotent = false;
    std::chrono::milliseconds timeLeft { 0 }; ///< From arrival to the caller's deadline.
    Bytes body;
    std::string contentType;
};

/// What the caller may conclude about its request.
enum class Outcome {
    Done, ///< It ran; the answer holds the complete result of the upstream.
    NotRun, ///< It did not run: no byte reached an upstream, or the upstream refused it explicitly.
    Unknown, ///< It may have run.
};

/// Why a request was not run, or why its outcome is unknown.
enum class Reason {
    None,
    UnknownService,
    TeamNotAllowed,
    PriorityNotAllowed,
    BodyTooLarge,
    BadIdempotencyKey,
    KeyReusedWithOtherBody,
    DeadlinePassed,
    DeadlineCannotBeMet,
    QueueFull,
    QuotaExceeded,
    NoUpstream,
    NoPeer,
    HarmfulRequest,
    ShuttingDown,
    NotReady,
    ClaimUnavailable,
    CancelledByCaller,
    UpstreamRefused,
    UpstreamLost,
    AnswerTruncated,
    RetryBudgetSpent,
    OwnerLost,
    KeyTooOld,
    AnswerExpired,
    StillRunning,
};

/// Lower-case, hyphenated name used in answers and metrics, for example "queue-full".
const char* reasonName(Reason);

/// Answer to a request.
struct Answer {
    Outcome outcome = Outcome::Unknown;
    Reason reason = Reason::None;
    std::chrono::milliseconds retryAfter { 0 }; ///< Delay before a retry; zero when a retry can't succeed.
    int status = 0; ///< HTTP status of the upstream; set for Done only.
    std::string contentType; ///< Of the upstream's result; set for Done only.
    Bytes body; ///< Result of the upstream; set for Done only.
};

/// Handles callers' requests and disconnects. Called from any thread of the adapter.
class CallerSink {
public:
    virtual ~CallerSink() = default;
    virtual void onCallerRequest(CallerRequest) = 0;
    /// The caller disconnected or cancelled its request. It needs no answer; one that is sent anyway is dropped.
    virtual void onCallerDisconnected(CallerHandle) = 0;
    /// Cancels the request of `team` with this idempotency key (DELETE). True if it was waiting or running on this host.
    virtual bool cancelByKey(const std::string& team, const std::string& idempotencyKey) = 0;
    /// Readiness check of the load balancer: true while this host accepts requests.
    virtual bool isReady() = 0;
};

/// Settings of the listener for callers.
struct CallerSettings {
    std::string listenAddress; ///< "ip:port".
    unsigned threads = 2;
    std::size_t maximumBodyBytes = 1 << 20;
    std::chrono::milliseconds defaultDeadline { 10000 };
    std::chrono::milliseconds readTimeout { 10000 }; ///< Longest wait for the rest of an incomplete header or body.
};

/// Serves callers. Thread-safe.
class CallerPort {
public:
    virtual ~CallerPort() = default;
    /// Starts to listen. Throws Ports::PortError if it can't listen on the address.
    virtual void start(CallerSink&) = 0;
    /// Answers the request. A second answer, or one for a caller that has disconnected, is dropped.
    virtual void answer(CallerHandle, const Answer&) = 0;
    /// Number of requests delivered to the sink and not yet answered.
    virtual std::size_t unanswered() const = 0;
    /// Closes the listener. Call it once unanswered() is zero or the wait for that has timed out.
    virtual void stop() = 0;
};

using CallerPortRegistry = Common::Registry<CallerPort, const CallerSettings&>;
using CallerPortRegistration = Common::Registration<CallerPort, const CallerSettings&>;

} // namespace Ports
