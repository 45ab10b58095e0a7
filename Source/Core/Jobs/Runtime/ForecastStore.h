#pragma once

/// Keeps the peaks that the holder of the fleet duty has detected in the platform's store, so that the next holder goes on from them.

#include "Common/TaskLoop.h"
#include "Jobs/Fleet/PeakForecast.h"
#include "Jobs/Runtime/Ownership.h"
#include "Ports/PlatformPort.h"

#include <chrono>
#include <functional>
#include <memory>
#include <string>

namespace Jobs {

/// Dependencies of a ForecastStore.
struct ForecastContext {
    Common::TaskLoop& loop;
    Ports::PlatformPort& platform;
    std::string holder; ///< Name of this host.
    PeakForecast& forecast; ///< Has to outlive the store.
    std::function<void(std::chrono::milliseconds)> onForecastError; ///< Called with how much later than expected a peak started; may be empty.
};

/// Used on the loop's thread only.
class ForecastStore {
public:
    /// `Fence` is the fencing token of the fleet duty.
    ForecastStore(ForecastContext, Fence);
    ~ForecastStore();
    ForecastStore(const ForecastStore&) = delete;
    ForecastStore& operator=(const ForecastStore&) = delete;

    /// Reads the record of earlier holders and hands it to the forecast; retries until it is read. Call it once, after this host
    /// acquired the duty: from then on the fence keeps earlier holders from writing.
    void begin();
    /// Logs what the forecast has found out since the last call, and stores its peaks if one has started: one write a peak.
    void update();

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace Jobs
