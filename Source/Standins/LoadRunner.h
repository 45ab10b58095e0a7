#pragma once

/// Load generator: sends the requests of a LoadPlan to entry hosts, retries them like well-behaved callers, and checks each answer.

#include "Adapters/Platform/EventLoop.h"
#include "Standins/LoadPlan.h"
#include "Standins/LoadTally.h"

#include <functional>
#include <memory>

namespace Standins {

/// Runs on the given loop. Used on the loop's thread, or before the loop runs; must be destroyed after the loop has ended.
class LoadRunner {
public:
    using DoneCallback = std::function<void(const LoadSummary&)>;

    static std::unique_ptr<LoadRunner> create(Adapters::EventLoop&, const LoadSettings&);
    ~LoadRunner();

    /// The callback runs once, after the last request has ended and the executors' run counts were read.
    void start(DoneCallback);
    /// Sends no new requests; those in progress end as usual, then the callback of start() runs.
    void finishEarly();
    /// Closes all connections and drops the callback of start(); must be called before the loop ends, but not from within a call
    /// of the client, such as that callback.
    void shutdown();

private:
    class Private;

    explicit LoadRunner(std::unique_ptr<Private>);

    std::unique_ptr<Private> m_private;
};

} // namespace Standins
