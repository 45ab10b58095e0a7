#pragma once

/// Port for callers that submit jobs: delivers their calls and sends exactly one answer to each.

#include "Jobs/Model/JobTypes.h"

#include <chrono>
#include <functional>
#include <optional>
#include <string>

namespace Ports {

/// Operation that a caller requests.
enum class JobVerb {
    Submit,
    Show,
    Cancel,
};

/// A call as received.
struct JobCall {
    JobVerb verb = JobVerb::Show;
    std::string host; ///< From the Host header, without the port.
    std::string path;
    std::chrono::milliseconds callerTimeout { 0 }; ///< How long the caller waits for the answer; zero if it didn't say.
    std::optional<Jobs::JobSpec> spec; ///< Set for Submit if the body could be parsed.
    std::string bodyError; ///< Why the body couldn't be parsed; empty if it could.
};

/// Result of a call.
enum class JobOutcome {
    Accepted, ///< Stored by this call or an earlier one.
    Shown,
    Cancelled, ///< Stored by this call or an earlier one.
    Counted, ///< The answer holds the queue's backlog.
    NoSuchQueue,
    NoSuchJob,
    Malformed,
    Refused, ///< Not stored; retry later.
    Unknown, ///< May have been stored; retry with the same id.
};

constexpr JobOutcome lastValue(JobOutcome) { return JobOutcome::Unknown; }

/// Answer to a call. A comment names the outcome for which a field is set.
struct JobAnswer {
    JobOutcome outcome = JobOutcome::Unknown;
    Jobs::JobState state = Jobs::JobState::Queued; ///< Shown.
    std::uint64_t backlog = 0; ///< Counted: accepted jobs of which no run has started.
    std::chrono::milliseconds retryAfter { 0 }; ///< Refused.
    std::string reason; ///< Refused, Malformed and Unknown; for logs and callers.
};

using JobReply = std::function<void(const JobAnswer&)>;

/// Handles calls. Called on any thread; the reply may be made later and on another thread.
class JobSink {
public:
    virtual ~JobSink() = default;
    virtual void onJobCall(JobCall, JobReply) = 0;
    /// Readiness check of the load balancer: true while this host accepts calls.
    virtual bool isReady() const = 0;
    /// Metrics in the Prometheus text format.
    virtual std::string metrics() const = 0;
};

/// Serves callers. Thread-safe.
class JobPort {
public:
    virtual ~JobPort() = default;
    /// Starts to listen. Throws Ports::PortError if it can't listen on an address.
    virtual void start(JobSink&) = 0;
    /// Number of calls delivered to the sink and not yet answered.
    virtual std::size_t unanswered() const = 0;
    /// From now on closes each connection after its answer, so that callers reconnect for their next call.
    virtual void closeAfterAnswers() = 0;
    virtual void stop() = 0;
};

} // namespace Ports
