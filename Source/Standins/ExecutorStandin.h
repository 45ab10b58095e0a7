#pragma once

/// Stand-in for an executor: runs tasks as timers in a number of slots, counts what ran, misbehaves on demand.

#include "Adapters/Platform/EventLoop.h"
#include "Common/Result.h"
#include "Standins/StandinError.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

namespace Standins {

/// How an executor misbehaves.
enum class ExecutorFaultMode {
    None,
    FailFast, ///< Starts each task and fails it at once with 500.
    Truncate, ///< Runs the task, then sends half of the answer's body and closes.
    Hang, ///< Starts the task and never ends it.
    WrongId, ///< Answers with another request's id.
    Slow, ///< Adds the delay to each run time.
    CrashOnBody, ///< The process exits when a body contains the marker.
};

/// A fault to inject.
struct ExecutorFault {
    ExecutorFaultMode mode = ExecutorFaultMode::None;
    std::chrono::milliseconds delay { 0 };
    std::string marker {};
};

/// Settings of one executor.
struct ExecutorSettings {
    unsigned port = 0; ///< Zero takes any free one.
    unsigned slots = 8;
    std::chrono::milliseconds runTime { 100 }; ///< A body that is a JSON object may give its own as "runMs".
    double jitter = 0.2; ///< Run times lie within this share of runTime on either side.
    std::uint64_t seed = 1;
    std::string address = "127.0.0.1"; ///< Of the loopback range.
};

/// What happened since the start.
struct ExecutorStats {
    std::uint64_t ran = 0; ///< Tasks started.
    std::uint64_t refused = 0; ///< For want of a slot; not run.
    std::uint64_t cancelled = 0;
    unsigned running = 0;
    unsigned maximumRunning = 0;
    std::size_t maximumConnections = 0;
};

/// POST /run/<service>, DELETE /run/<request-id>, GET /runs, GET /stats, POST /fault.
/// Used on the loop's thread, or before it runs; destroyed after the loop has ended.
class ExecutorStandin {
public:
    static Common::Result<std::unique_ptr<ExecutorStandin>, StandinError> create(Adapters::EventLoop&, const ExecutorSettings&);
    ~ExecutorStandin();

    unsigned port() const;
    void setFault(const ExecutorFault&);
    ExecutorStats stats() const;
    /// How often a body of that text was started.
    std::uint64_t runsOfBody(const std::string& body) const;
    /// Closes everything; must come before the loop's end.
    void shutdown();

private:
    class Private;

    explicit ExecutorStandin(std::unique_ptr<Private>);

    std::unique_ptr<Private> m_private;
};

/// Hash of a body as answers and counts carry it: sixteen hexadecimal digits.
std::string bodyHash(const std::string& body);

} // namespace Standins
