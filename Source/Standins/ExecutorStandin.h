#pragma once

/// Stand-in for an upstream's executor: simulates tasks by timers in a fixed number of slots, counts runs and injects faults.

#include "Adapters/Platform/EventLoop.h"
#include "Common/Result.h"
#include "Standins/StandinError.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

namespace Standins {

/// Kinds of faults that an executor can inject.
enum class ExecutorFaultMode {
    None,
    FailFast, ///< Starts each task and fails it immediately with 500.
    Truncate, ///< Runs the task, then sends half of the response body and closes the connection.
    Hang, ///< Starts the task and never finishes it.
    Hold, ///< Starts the task and finishes it when the mode changes.
    WrongId, ///< Answers with the id of another request.
    Slow, ///< Adds the delay to each run time.
    CrashOnBody, ///< Exits the process when a body contains the marker.
};

struct ExecutorFault {
    ExecutorFaultMode mode = ExecutorFaultMode::None;
    std::chrono::milliseconds delay { 0 }; ///< For Slow.
    std::string marker {}; ///< For CrashOnBody.
};

struct ExecutorSettings {
    unsigned port = 0; ///< 0 for any free port.
    unsigned slots = 8; ///< Tasks run at once.
    std::chrono::milliseconds runTime { 100 }; ///< Mean; a body that is a JSON object may set its own by "runMs".
    double jitter = 0.2; ///< Run times vary by up to this fraction of runTime in either direction.
    std::uint64_t seed = 1;
    std::string address = "127.0.0.1"; ///< In 127.0.0.0/8.
};

/// Counts since the start.
struct ExecutorStats {
    std::uint64_t ran = 0; ///< Tasks started.
    std::uint64_t refused = 0; ///< Not run because no slot was free.
    std::uint64_t cancelled = 0;
    unsigned running = 0;
    unsigned maximumRunning = 0; ///< Most tasks run at once.
    std::size_t maximumConnections = 0; ///< Most connections open at once.
};

/// Serves POST /run/<service>, DELETE /run/<request-id>, GET /runs, GET /stats and POST /fault.
/// Used on the loop's thread, or before the loop runs; must be destroyed after the loop has ended.
class ExecutorStandin {
public:
    /// Fails when it can't listen on the port.
    static Common::Result<std::unique_ptr<ExecutorStandin>, StandinError> create(Adapters::EventLoop&, const ExecutorSettings&);
    ~ExecutorStandin();

    unsigned port() const;
    /// Applies to tasks that start from now on; any mode except Hold also finishes the tasks that Hold has started.
    void setFault(const ExecutorFault&);
    ExecutorStats stats() const;
    /// How many times a task with this body was started.
    std::uint64_t runsOfBody(const std::string& body) const;
    /// Closes the listener and all connections; must be called before the loop ends.
    void shutdown();

private:
    class Private;

    explicit ExecutorStandin(std::unique_ptr<Private>);

    std::unique_ptr<Private> m_private;
};

/// Hash of a body in the form used in responses and counts: 16 hexadecimal digits.
std::string bodyHash(const std::string& body);

} // namespace Standins
