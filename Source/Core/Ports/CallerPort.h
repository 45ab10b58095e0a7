#pragma once

/// Port towards callers: requests come in, exactly one answer goes out for each.

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

/// Identity of a caller's request inside one process; never reused.
using CallerHandle = std::uint64_t;

/// A checked request as a caller sent it. The adapter refuses malformed ones itself with a 4xx.
struct CallerRequest {
    CallerHandle handle = 0;
    std::string service;
    std::string team;
    std::string priority;
    std::string idempotencyKey; ///< As sent; empty when the caller sent none.
    bool idempotent = false;
    std::chrono::milliseconds timeLeft { 0 }; ///< Until the caller's deadline, counted from arrival.
    Bytes body;
    std::string contentType;
};

/// The three answers.
enum class Outcome {
    Done, ///< The whole result of the upstream.
    NotRun, ///< No byte reached an upstream, or the upstream proved that it refused.
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

/// Lower-case, hyphenated name of a reason as callers and metrics see it, for example "queue-full".
const char* reasonName(Reason);

/// The one answer to a request.
struct Answer {
    Outcome outcome = Outcome::Unknown;
    Reason reason = Reason::None;
    std::chrono::milliseconds retryAfter { 0 }; ///< When to come back; zero when coming back is no use.
    int status = 0; ///< HTTP status of the upstream; set for Done only.
    std::string contentType; ///< Of the upstream's result; set for Done only.
    Bytes body; ///< The upstream's result; set for Done only.
};

/// Receives what callers do. Called from any thread of the adapter.
class CallerSink {
public:
    virtual ~CallerSink() = default;
    virtual void onCallerRequest(CallerRequest) = 0;
    /// The caller hung up or cancelled; no answer is due any more, though answering does no harm.
    virtual void onCallerDisconnected(CallerHandle) = 0;
    /// The caller of `team` cancels by key (DELETE); true when a request of that key was waiting or running here.
    virtual bool cancelByKey(const std::string& team, const std::string& idempotencyKey) = 0;
    /// True while the balancer may send requests here.
    virtual bool isReady() = 0;
};

/// Where callers are listened for.
struct CallerSettings {
    std::string listenAddress; ///< "ip:port".
    unsigned threads = 2;
    std::size_t maximumBodyBytes = 1 << 20;
    std::chrono::milliseconds defaultDeadline { 10000 };
    std::chrono::milliseconds readTimeout { 10000 }; ///< For headers and bodies that stop short.
};

/// Serves callers. Thread-safe.
class CallerPort {
public:
    virtual ~CallerPort() = default;
    /// Starts to listen. Throws Ports::PortError when the address can't be had.
    virtual void start(CallerSink&) = 0;
    /// Answers the request of that handle; a second answer or one to a caller who has gone is dropped.
    virtual void answer(CallerHandle, const Answer&) = 0;
    /// Requests that were taken and not yet answered.
    virtual std::size_t unanswered() const = 0;
    /// Closes the listener. Call only once unanswered() is zero or its patience is spent.
    virtual void stop() = 0;
};

using CallerPortRegistry = Common::Registry<CallerPort, const CallerSettings&>;
using CallerPortRegistration = Common::Registration<CallerPort, const CallerSettings&>;

} // namespace Ports
