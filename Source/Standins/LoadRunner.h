#pragma once

/// Load generator: plays a plan against entry hosts as careful callers would, and checks each answer.

#include "Adapters/Platform/EventLoop.h"
#include "Standins/LoadPlan.h"
#include "Standins/LoadTally.h"

#include <functional>
#include <memory>

namespace Standins {

/// Runs on the given loop. Used on the loop's thread, or before it runs; destroyed after the loop has ended.
class LoadRunner {
public:
    using DoneCallback = std::function<void(const LoadSummary&)>;

    static std::unique_ptr<LoadRunner> create(Adapters::EventLoop&, const LoadSettings&);
    ~LoadRunner();

    /// The callback runs once, when the last request has ended and the executors were read.
    void start(DoneCallback);
    /// Asks for nothing new; what is under way ends as usual.
    void finishEarly();
    /// Closes everything; must come before the loop's end.
    void shutdown();

private:
    class Private;

    explicit LoadRunner(std::unique_ptr<Private>);

    std::unique_ptr<Private> m_private;
};

} // namespace Standins
