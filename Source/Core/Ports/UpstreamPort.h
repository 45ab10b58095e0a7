#pragma once

/// Port towards upstreams: one attempt goes out, exactly one result comes back for it.

#include "Common/Registry.h"
#include "Ports/CallerPort.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

namespace Ports {

/// Identity of an attempt inside one process; never reused.
using AttemptId = std::uint64_t;

/// One attempt to run a request on an upstream.
struct UpstreamCall {
    AttemptId attempt = 0;
    std::string upstream; ///< Object name.
    std::string pool; ///< That the attempt is made for; not sent along.
    std::string address; ///< "ip:port".
    std::string service;
    std::string requestId; ///< Sent along; the upstream must echo it, else the answer isn't taken as ours.
    std::chrono::milliseconds timeLeft { 0 };
    Bytes body;
    std::string contentType;
};

/// How an attempt ended.
enum class AttemptEnd {
    Answered, ///< A whole answer that carries our request id.
    Refused, ///< The upstream proved that it did not run it (503 with its refusal header).
    NotSent, ///< No byte of the request left this host (connect failed).
    Lost, ///< Bytes were sent and no whole answer came.
    Truncated, ///< An answer began and stopped short.
    Cancelled, ///< We cancelled it after sending; it may have run.
};

/// Result of an attempt.
struct UpstreamResult {
    AttemptId attempt = 0;
    AttemptEnd end = AttemptEnd::Lost;
    int status = 0;
    std::string contentType;
    Bytes body;
};

/// Receives results; called from the adapter's thread, once per attempt.
class UpstreamSink {
public:
    virtual ~UpstreamSink() = default;
    virtual void onAttemptEnded(UpstreamResult) = 0;
};

/// Limits of the upstream adapter.
struct UpstreamSettings {
    unsigned connectionsPerUpstream = 8; ///< Idle and busy ones of this host together; hosts share the upstream's 64.
    std::chrono::milliseconds connectTimeout { 500 };
    std::size_t maximumAnswerBytes = 4 << 20;
};

/// Runs attempts on upstreams. Thread-safe.
class UpstreamPort {
public:
    virtual ~UpstreamPort() = default;
    virtual void start(UpstreamSink&) = 0;
    virtual void dispatch(UpstreamCall) = 0;
    /// Tells the upstream to stop an attempt and ends it with Cancelled, if it still runs.
    virtual void cancel(AttemptId) = 0;
    virtual void stop() = 0;
};

using UpstreamPortRegistry = Common::Registry<UpstreamPort, const UpstreamSettings&>;
using UpstreamPortRegistration = Common::Registration<UpstreamPort, const UpstreamSettings&>;

} // namespace Ports
