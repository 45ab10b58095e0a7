/// Tests of pools in which tasks that crash their workers come faster than workers return.

#include "JobFleet.h"

#include <doctest/doctest.h>
#include <random>
#include <vector>

using namespace Jobs;
using namespace std::chrono_literals;
using Ports::JobOutcome;
using Ports::JobVerb;

namespace {

/// Jobs are asked for so long after the last one came, by the platform's rules.
constexpr std::chrono::seconds finishTime { 14 };
/// Starts that may follow the third crash, by the platform's rules.
constexpr unsigned maximumCrashes = 5;
/// Crashes after which a task may be given up.
constexpr unsigned fewestCrashes = 2;

class BacklogFleet : public JobFleet {
public:
    explicit BacklogFleet(unsigned workerCount)
        : JobFleet(3, workerCount, 16)
    {
        closesConnections = true;
        for (auto& [id, worker] : workers)
            worker->closesConnections = true;
        setRunTime(640ms);
        settle();
    }

    /// Any running host.
    std::string caller() const { return hosts.begin()->first; }

    /// Submits jobs of eight tasks, of a quarter of which one task crashes each worker that starts it.
    void submitJobs(unsigned jobs, std::chrono::milliseconds interval, std::uint64_t seed, std::chrono::seconds ownerKilledAt)
    {
        std::mt19937_64 random(seed);
        const auto begin = loop.now();
        bool isKilled = ownerKilledAt == 0s;
        for (unsigned n = 1; n <= jobs; ++n) {
            if (random() % 4 == 0)
                runMonitor.crashing.insert({ jobId(n), 0, 0, static_cast<unsigned>(random() % 8) });
            const auto answer = call(caller(), JobVerb::Submit, jobId(n), oneStep(8, 640ms, 880));
            if (answer && answer->outcome == JobOutcome::Accepted)
                accepted.push_back(jobId(n));
            if (!isKilled && loop.now() - begin > ownerKilledAt && !ownerOf("desk").empty()) {
                killHost(ownerOf("desk"));
                isKilled = true;
            }
            const auto machine = machines.at("m" + std::to_string(random() % machines.size())).worker;
            if (crashInterval > 0ms && n % static_cast<unsigned>(crashInterval / interval) == 0 && !machine.empty() && !workers.at(machine)->isCrashed)
                crashWorker(machine);
            runFor(interval);
        }
    }

    bool isCrashing(const JobId& job) const
    {
        return std::ranges::any_of(runMonitor.crashing, [&job](const auto& it) { return it.job == job; });
    }

    std::vector<JobId> accepted;
    std::chrono::milliseconds crashInterval { 0 }; ///< Of workers that crash by themselves; zero for none.
};

} // namespace

TEST_CASE("each job ends soon after the last one came, also where crashing tasks come faster than workers return")
{
    for (const auto ownerKilledAt : { 0s, 8s, 16s }) {
        for (std::uint64_t seed = 1; seed <= 4; ++seed) {
            CAPTURE(seed);
            CAPTURE(ownerKilledAt.count());
            BacklogFleet fleet(12);
            fleet.submitJobs(200, 100ms, seed, ownerKilledAt);
            fleet.runFor(finishTime);
            unsigned unfinished = 0;
            unsigned wronglyFailed = 0;
            for (const auto& job : fleet.accepted) {
                const auto state = fleet.stateOf(fleet.caller(), job);
                unfinished += state != JobState::Completed && state != JobState::Failed ? 1 : 0;
                wronglyFailed += state == JobState::Failed && !fleet.isCrashing(job) ? 1 : 0;
            }
            CHECK(unfinished == 0);
            CHECK(wronglyFailed == 0);
            CHECK(fleet.runMonitor.duplicateRuns == 0);
            for (const auto& [task, crashes] : fleet.runMonitor.crashes)
                CHECK(crashes <= maximumCrashes);
            for (const auto& task : fleet.runMonitor.crashing) {
                if (fleet.stateOf(fleet.caller(), task.job) == JobState::Failed)
                    CHECK(fleet.runMonitor.crashesUnder[task] >= fewestCrashes);
            }
        }
    }
}

TEST_CASE("jobs without a crashing task aren't given up beside many with one, also where workers crash by themselves")
{
    for (const auto ownerKilledAt : { 0s, 8s, 16s, 19s }) {
        for (std::uint64_t seed = 1; seed <= 4; ++seed) {
            CAPTURE(seed);
            CAPTURE(ownerKilledAt.count());
            BacklogFleet fleet(12);
            fleet.crashInterval = 4s;
            fleet.submitJobs(200, 100ms, seed, ownerKilledAt);
            fleet.runFor(finishTime);
            const auto isWronglyFailed = [&fleet](const auto& job) { return !fleet.isCrashing(job) && fleet.stateOf(fleet.caller(), job) == JobState::Failed; };
            CHECK(std::ranges::count_if(fleet.accepted, isWronglyFailed) == 0);
            CHECK(fleet.runMonitor.duplicateRuns == 0);
            for (const auto& [task, crashes] : fleet.runMonitor.crashes)
                CHECK(crashes <= maximumCrashes);
        }
    }
}
