#pragma once

/// A fleet duty without owners of pools: the test sets each pool's load.

#include "JobFleet.h"
#include "Jobs/Runtime/FleetDuty.h"

#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

/// Holders of the fleet duty over pools a to d, whose demand the test sets.
class PeakFleet : public JobFleet {
public:
    PeakFleet()
        : JobFleet(0, 0)
    {
        configuration.pools = { { "a", false, true }, { "b", false, true }, { "c", false, true }, { "d", false, true }, { "off", true, true } };
    }

    ~PeakFleet()
    {
        duty.reset();
    }

    /// The host acquires the duty; the holder before loses it.
    void acquire(const std::string& host)
    {
        duty.reset();
        store.put(Jobs::Ownership::keyOf("~fleet"), host + " 1");
        const auto fence = static_cast<Jobs::Fence>(store.state.revision());
        auto& port = ports[host];
        port = std::make_unique<FakeStorePort>(store, host);
        const auto requestLoad = [this](const Jobs::LoadCall& call, const std::function<void(const Jobs::LoadCallAnswer&)>& callback) {
            Jobs::LoadCallAnswer answer;
            answer.isOwner = call.pool != "off";
            answer.load.waitingMilliCores = demands[call.pool];
            loop.post([callback, answer] { callback(answer); });
        };
        Jobs::FleetContext context { loop, *port, machinePort, published, host, {}, Jobs::Predecessor::None, requestLoad, [this] { return mayOrder; } };
        context.onForecastError = [this](std::chrono::milliseconds error) { forecastErrors.push_back(error); };
        duty = std::make_unique<Jobs::FleetDuty>(context, fence);
        duty->configure(configuration);
        duty->begin();
    }

    /// The pool's demand is high for 4 s, then all pools idle for the rest of the time.
    void peak(const std::string& pool, std::chrono::milliseconds time)
    {
        constexpr std::chrono::milliseconds duration { 4000 };
        demands[pool] = 1500000;
        runFor(duration);
        demands[pool] = 20000;
        runFor(time - duration);
    }

    std::map<std::string, std::uint64_t> demands { { "a", 20000 }, { "b", 20000 }, { "c", 20000 }, { "d", 20000 } }; ///< In thousandths of cores.
    std::map<std::string, std::unique_ptr<FakeStorePort>> ports;
    std::vector<std::chrono::milliseconds> forecastErrors;
    bool mayOrder = true;
    std::unique_ptr<Jobs::FleetDuty> duty;
};
