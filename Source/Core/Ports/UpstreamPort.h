#pragma once

/// Port for upstreams: sends attempts and delivers exactly one result for each.

#include "Common/Registry.h"
#include "Ports/CallerPort.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

namespace Ports {

/// Identifies an attempt within this process; never reused.
using AttemptId = std::uint64_t;

/// One attempt to run a request on an upstream.
struct UpstreamCall {
    AttemptId attempt = 0;
    std::string upstream; ///< Object name.
    std::string pool; ///< Pool that the attempt belongs to; not sent to the upstream.
    std::string address; ///< "ip:port".
    std::string service;
    std::string requestId; ///< Sent to the upstream, which must echo it; an answer with another id counts as Lost.
    std::chrono::milliseconds timeLeft { 0 }; ///< Until the caller's deadline.
    Bytes body;
    std::string contentType;
};

/// Outcome of an attempt.
enum class AttemptEnd {
    Answered, ///< A complete answer with the attempt's request id.
    Refused, ///< The upstream stated that it did not run the request (503 with its refusal header).
    NotSent, ///< No byte of the request left this host because the upstream couldn't be reached.
    Lost, ///< The request was sent, at least in part, and no valid answer arrived.
    Truncated, ///< The answer ended before it was complete.
    Cancelled, ///< Stopped after sending, by cancel() or because its time was up; it may have run. The upstream is told to stop it.
    Withdrawn, ///< Stopped by cancel(), or because its time was up, before a byte of the request left this host.
};

/// True when the end proves that the upstream didn't run the request.
constexpr bool isProvedNotRun(AttemptEnd end)
{
    return end == AttemptEnd::Refused || end == AttemptEnd::NotSent || end == AttemptEnd::Withdrawn;
}

/// Result of an attempt.
struct UpstreamResult {
    AttemptId attempt = 0;
    AttemptEnd end = AttemptEnd::Lost;
    int status = 0;
    std::string contentType;
    Bytes body;
};

/// Handles results. Called from the adapter's thread, once per attempt.
class UpstreamSink {
public:
    virtual ~UpstreamSink() = default;
    virtual void onAttemptEnded(UpstreamResult) = 0;
};

/// Limits of the upstream adapter.
struct UpstreamSettings {
    unsigned connectionsPerUpstream = 8; ///< Idle and busy connections of this host; all hosts share the upstream's limit of 64.
    std::chrono::milliseconds connectTimeout { 500 };
    std::size_t maximumAnswerBytes = 4 << 20;
};

/// Runs attempts on upstreams. Thread-safe.
class UpstreamPort {
public:
    virtual ~UpstreamPort() = default;
    virtual void start(UpstreamSink&) = 0;
    /// Starts an attempt; its result goes to the sink.
    virtual void dispatch(UpstreamCall) = 0;
    /// Ends an attempt that is still running as Withdrawn, or as Cancelled if the upstream has to be told to stop it.
    virtual void cancel(AttemptId) = 0;
    virtual void stop() = 0;
};

using UpstreamPortRegistry = Common::Registry<UpstreamPort, const UpstreamSettings&>;
using UpstreamPortRegistration = Common::Registration<UpstreamPort, const UpstreamSettings&>;

} // namespace Ports
