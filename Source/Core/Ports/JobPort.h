#pragma once

/// Port towards the callers of jobs: calls come in, exactly one answer goes out for each.

#include "Jobs/Model/JobTypes.h"

#include <chrono>
#include <functional>
#include <optional>
#include <string>

namespace Ports {

/// What a caller wants.
enum class JobVerb {
    Submit,
    Show,
    Cancel,
};

/// A call as it came in.
struct JobCall {
    JobVerb verb = JobVerb::Show;
    std::string host; ///< Of the URL, without a port.
    std::string path;
    std::chrono::milliseconds callerTimeout { 0 }; ///< How long the caller waits; zero when not told.
    std::optional<Jobs::JobSpec> spec; ///< Of a submission that could be read.
    std::string bodyError; ///< Why the body couldn't be read; empty when it could.
};

/// How a call ended.
enum class JobOutcome {
    Accepted, ///< Stored, now or before.
    Shown,
    Cancelled, ///< Stored, now or before.
    Counted, ///< The queue's backlog.
    NoSuchQueue,
    NoSuchJob,
    Malformed,
    Refused, ///< Surely not stored; come back later.
    Unknown, ///< It may have been stored; ask again with the same id.
};

constexpr JobOutcome lastValue(JobOutcome) { return JobOutcome::Unknown; }

/// The one answer.
struct JobAnswer {
    JobOutcome outcome = JobOutcome::Unknown;
    Jobs::JobState state = Jobs::JobState::Queued; ///< Of Shown.
    std::uint64_t backlog = 0; ///< Of Counted: accepted jobs of which nothing has started.
    std::chrono::milliseconds retryAfter { 0 }; ///< Of Refused.
    std::string reason; ///< Of Refused, Malformed and Unknown; for logs and callers.
};

using JobReply = std::function<void(const JobAnswer&)>;

/// Receives calls. Called on any thread; the reply may be made later and on another one.
class JobSink {
public:
    virtual ~JobSink() = default;
    virtual void onJobCall(JobCall, JobReply) = 0;
    /// True while the balancer may send calls here.
    virtual bool isReady() const = 0;
    /// Metrics in the Prometheus text format.
    virtual std::string metrics() const = 0;
};

/// Serves callers. Thread-safe.
class JobPort {
public:
    virtual ~JobPort() = default;
    /// Starts to listen. Throws Ports::PortError when an address can't be had.
    virtual void start(JobSink&) = 0;
    /// Calls that were taken and not yet answered.
    virtual std::size_t unanswered() const = 0;
    /// From now on tells callers to connect anew for their next call.
    virtual void closeAfterAnswers() = 0;
    virtual void stop() = 0;
};

} // namespace Ports
