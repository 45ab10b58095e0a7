#pragma once

/// A pool whose workers crash by themselves, many at a time.

#include "JobFleet.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

/// A pool in which a share of the workers crashes at a time, and returns after a moment.
class WaveFleet : public JobFleet {
public:
    explicit WaveFleet(std::uint64_t seed, unsigned workerCount = 36)
        : JobFleet(2, workerCount, 8)
        , m_random(seed)
    {
        onWorkerAdded = [](FakeWorker& worker) { prepare(worker); };
        for (auto& [id, worker] : workers)
            prepare(*worker);
        closesConnections = true;
        downTime = std::chrono::milliseconds(1200);
        setRunTime(std::chrono::milliseconds(700));
        settle();
    }

    void submit(unsigned job, const Jobs::JobSpec& spec)
    {
        if (spec.steps.front().isLasting)
            runMonitor.runTimes[jobId(job)] = std::chrono::minutes(10);
        REQUIRE(call(hosts.begin()->first, Ports::JobVerb::Submit, jobId(job), spec));
    }

    /// Doesn't wait for the answer.
    void submitLater(unsigned job, const Jobs::JobSpec& spec)
    {
        Ports::JobCall it;
        it.verb = Ports::JobVerb::Submit;
        it.host = "desk.example";
        it.path = "/bookings/" + jobId(job);
        it.callerTimeout = std::chrono::seconds(3);
        it.spec = spec;
        hosts.begin()->second->node->onJobCall(std::move(it), [this, job](const auto& answer) {
            if (answer.outcome == Ports::JobOutcome::Accepted)
                accepted.insert(job);
        });
    }

    /// Crashes a share of the workers now.
    void crashShare(unsigned permille)
    {
        std::vector<std::string> up;
        for (const auto& [name, machine] : machines) {
            if (const auto& id = machine.worker; !id.empty() && !workers.at(id)->isCrashed)
                up.push_back(id);
        }
        std::ranges::shuffle(up, m_random);
        up.resize(up.size() * permille / 1000);
        for (const auto& id : up)
            crashWorker(id);
    }

    void addWorkers(unsigned count)
    {
        for (unsigned n = 0; n < count; ++n) {
            const auto number = std::to_string(machines.size());
            addWorker("w" + number, "m" + number, 8);
            publishWorker("w" + number);
        }
    }

    std::set<unsigned> accepted; ///< Jobs of submitLater() that were answered so.

    Jobs::JobState stateOf(unsigned job) { return JobFleet::stateOf(hosts.begin()->first, jobId(job)); }

private:
    static void prepare(FakeWorker& worker)
    {
        worker.closesConnections = true;
        worker.startup = std::chrono::milliseconds(300);
    }

    std::mt19937_64 m_random;
};
