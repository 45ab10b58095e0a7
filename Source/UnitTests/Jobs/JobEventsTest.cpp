/// Log events and metrics by which an operator tells the possible causes of a late job apart.

#include "EventLog.h"
#include "JobFleet.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace std::chrono_literals;
using Ports::JobOutcome;
using Ports::JobVerb;

namespace {

void submitJobs(JobFleet& fleet, unsigned count, const Jobs::JobSpec& spec)
{
    for (unsigned n = 0; n < count; ++n) {
        const auto answer = fleet.call("host-0", JobVerb::Submit, jobId(n), spec);
        REQUIRE(answer);
        REQUIRE(answer->outcome == JobOutcome::Accepted);
    }
}

} // namespace

TEST_CASE("the events of a late job show its size, its wait for the first start and its number of runs")
{
    const EventLog log;
    JobFleet fleet(1, 1);
    fleet.setRunTime(2s);
    fleet.settle();
    submitJobs(fleet, 2, oneStep(8, 500ms));
    fleet.runFor(10s);

    const auto accepted = log.last("job-accepted");
    CHECK(accepted.component == "pool.desk");
    CHECK(accepted.id == jobId(1));
    CHECK(accepted.at("queue") == "bookings");
    CHECK(accepted.number("tasks") == 8);
    CHECK(accepted.number("workCoreMs") == 4000);
    CHECK(accepted.number("criticalPathMs") == 500);
    CHECK(accepted.number("objectiveMs") == 2000);

    const auto finished = log.all("job-finished");
    REQUIRE(finished.size() == 2);
    CHECK(finished[0].at("queue") == "bookings");
    CHECK(finished[0].at("state") == "completed");
    CHECK(finished[0].at("outcome") == "late");
    CHECK(finished[0].number("tookMs") > 4000);
    CHECK(finished[0].number("objectiveMs") == 2000);
    CHECK(finished[0].number("firstStartMs") < 100);
    CHECK(finished[0].number("runs") == 8);
    CHECK(finished[1].at("outcome") == "overdue");
    CHECK(finished[1].number("firstStartMs") > 3000);
}

TEST_CASE("a job whose first run was placed by an earlier owner is logged with an unknown first start, not with a wait of zero")
{
    const EventLog log;
    JobFleet fleet(2, 1);
    fleet.setRunTime(5s);
    fleet.settle();
    submitJobs(fleet, 1, oneStep(2));
    fleet.runFor(1s);
    fleet.killHost(fleet.ownerOf("desk"));
    fleet.runFor(10s);
    const auto finished = log.last("job-finished");
    CHECK(finished.at("firstStartMs") == "unknown");
    CHECK(finished.number("runs") == 2);
}

TEST_CASE("a full pool logs its load once a second, and stops when there is no more load")
{
    const EventLog log;
    JobFleet fleet(1, 1);
    fleet.setRunTime(1s);
    fleet.settle();
    submitJobs(fleet, 4, oneStep(4));
    fleet.runFor(1s);
    const auto full = log.last("pool-load");
    CHECK(full.id == "desk");
    CHECK(full.number("activeJobs") >= 3);
    CHECK(full.number("waitingTasks") >= 8);
    CHECK(full.number("waitingMilliCores") == full.number("waitingTasks") * 1000);
    CHECK(full.number("waitingCoreMs") == full.number("waitingTasks") * 500);
    CHECK(full.number("busyMilliCores") == 4000);
    CHECK(full.number("freeMilliCores") == 0);
    CHECK(full.number("runs") == 4);
    CHECK(full.number("candidates") == 1);
    CHECK(full.number("workers") == 1);
    fleet.runFor(9s);
    long oldest = 0;
    long accepted = 0;
    long placed = 0;
    long ended = 0;
    for (const auto& it : log.all("pool-load")) {
        oldest = std::max(oldest, it.number("oldestWaitingMs"));
        accepted += it.number("accepted");
        placed += it.number("placed");
        ended += it.number("ended");
    }
    CHECK(oldest >= 1000);
    CHECK(accepted == 4);
    CHECK(placed == 16);
    CHECK(ended >= 12);
    const auto lines = log.all("pool-load").size();
    CHECK(lines >= 4);
    CHECK(lines <= 6);
    fleet.runFor(5s);
    CHECK(log.all("pool-load").size() == lines);
}

TEST_CASE("a pool whose tasks wait because no worker accepts any logs that it has no candidates, and why")
{
    const EventLog log;
    JobFleet fleet(1, 2);
    fleet.settle();
    fleet.workers.at("w0")->isPartitioned = true;
    fleet.workers.at("w1")->isPartitioned = true;
    fleet.runFor(4s);
    submitJobs(fleet, 1, oneStep(4));
    fleet.runFor(2s);
    const auto line = log.last("pool-load");
    CHECK(line.number("waitingTasks") == 4);
    CHECK(line.number("candidates") == 0);
    CHECK(line.number("workers") == 2);
    CHECK(line.number("silent") == 2);
    CHECK(line.number("cordoned") == 0);
    CHECK(line.number("avoided") == 0);
    CHECK(line.number("leaving") == 0);
    CHECK(line.number("oldestWaitingMs") > 900);
}

TEST_CASE("during an outage of the store an owner logs the age of its commits beside its free capacity")
{
    const EventLog log;
    JobFleet fleet(1, 1);
    fleet.setRunTime(3s);
    fleet.settle();
    submitJobs(fleet, 1, oneStep(2));
    fleet.runFor(2s);
    const auto before = log.last("pool-load");
    CHECK(before.number("decisions") > 0);
    CHECK(before.number("stalledMs") == 0);
    CHECK(before.number("longestCommitMs") < 50);
    fleet.store.isDown = true;
    fleet.runFor(4s);
    const auto line = log.last("pool-load");
    CHECK(line.number("freeMilliCores") == 4000);
    CHECK(line.number("stalledMs") > 1000);
    CHECK(line.number("commitAgeMs") > 2000);
    CHECK(line.number("decisionUs") >= 0);
    CHECK(line.number("longestDecisionUs") >= 0);
    CHECK(line.number("longestDelayMs") >= 0);
    CHECK(line.number("commitMs") >= 0);
}

TEST_CASE("a pool that lacks machines during the pause between two holders of the fleet duty logs that pause")
{
    const EventLog log;
    JobFleet fleet(2, 1);
    fleet.configuration.pools.push_back({ "off", true, true });
    for (const std::string name : { "s0", "s1" })
        fleet.machines[name] = { name, "off", Jobs::Machine::State::Up, "", "dc", {}, { 4000, 64000, 0 } };
    fleet.setRunTime(10s);
    fleet.settle();
    const auto first = fleet.ownerOf("~fleet");
    fleet.store.put("/marigold/orders/1/1", first + " s0 s1");
    fleet.killHost(first);
    fleet.runFor(2500ms);
    const auto second = first == "host-0" ? "host-1" : "host-0";
    CHECK(fleet.call(second, JobVerb::Submit, jobId(1), oneStep(16, 10s))->outcome == JobOutcome::Accepted);
    fleet.runFor(2s);
    const auto silent = log.last("fleet-load");
    CHECK(silent.component == "fleet");
    CHECK(silent.id == second);
    CHECK(silent.at("short") == "desk:12000/0");
    CHECK(silent.number("shortPools") == 1);
    CHECK(silent.number("unreportedPools") == 0);
    CHECK(silent.number("machines") == 3);
    CHECK(silent.number("off") == 2);
    CHECK(silent.number("idle") == 0);
    CHECK(silent.number("unavailable") == 0);
    CHECK(silent.number("plannedMoves") == 0);
    CHECK(silent.at("moves") == "allowed");
    CHECK(silent.at("lease") == "valid");
    CHECK(silent.number("cooldownLeftMs") > 0);
    CHECK(silent.number("machinesInCooldown") == 2);
    CHECK(silent.number("listAgeMs") < 3000);
    CHECK(log.all("move-ordered").empty());
    fleet.runFor(4s);
    CHECK(log.last("fleet-load").number("cooldownLeftMs") == 0);
    CHECK(log.last("fleet-load").number("machinesInCooldown") == 0);
    CHECK_FALSE(log.all("move-ordered").empty());
    CHECK(log.all("fleet-load").size() <= 8);
}

TEST_CASE("the holder of the fleet duty logs a pool that no host owns")
{
    const EventLog log;
    JobFleet fleet(2, 1);
    auto queue = fleet.configuration.queues.front();
    queue.name = "camps";
    queue.prefix = "/camps/";
    queue.pool = "camp";
    fleet.configuration.queues.push_back(queue);
    fleet.configuration.pools.push_back({ "camp", false, true });
    fleet.settle();
    const auto holder = fleet.ownerOf("~fleet");
    for (const std::string duty : { "desk", "camp" }) {
        const auto owner = fleet.ownerOf(duty);
        if (owner != holder) {
            fleet.killHost(owner);
            fleet.runFor(1500ms);
            CHECK(log.last("fleet-load").at("unreported").find(duty) != std::string::npos);
            CHECK(log.last("fleet-load").number("unreportedPools") >= 1);
            return;
        }
    }
    FAIL("the holder of the fleet duty owns both pools");
}

TEST_CASE("the progress of a wave that is due is logged once a second")
{
    const EventLog log;
    JobFleet fleet(2, 4);
    fleet.settle();
    fleet.publishWave({ 7, { "m0", "m1", "m2", "m3" }, 30s, 1 });
    fleet.runFor(3s);
    const auto line = log.last("fleet-load");
    CHECK(line.at("waves").starts_with("7:"));
    CHECK(line.at("waves").find("/4/") != std::string::npos);
    CHECK_FALSE(line.fields.contains("short")); // The log leaves out empty fields.
    CHECK(log.all("fleet-load").size() <= 4);
}

TEST_CASE("the metrics of an overloaded pool show its waiting work, the waits for first starts and how jobs ended")
{
    JobFleet fleet(1, 1);
    fleet.setRunTime(2s);
    fleet.settle();
    submitJobs(fleet, 3, oneStep(8, 500ms));
    const auto shows = [&fleet](const std::string& line) { return fleet.hosts.at("host-0")->node->metrics().find(line + '\n') != std::string::npos; };
    fleet.runFor(1500ms);
    CHECK(shows("marigoldstile_pool_active_jobs{pool=\"desk\"} 3"));
    CHECK(shows("marigoldstile_pool_candidates{pool=\"desk\"} 1"));
    CHECK(shows("marigoldstile_pool_waiting_cores{pool=\"desk\"} 20"));
    CHECK(shows("marigoldstile_pool_free_cores{pool=\"desk\"} 0"));
    fleet.runFor(3s);
    CHECK(shows("marigoldstile_pool_late_cores{pool=\"desk\"} 12"));
    CHECK(fleet.call("host-0", JobVerb::Cancel, jobId(2))->outcome == JobOutcome::Cancelled);
    fleet.runFor(10s);
    CHECK(shows("marigoldstile_jobs_finished_total{outcome=\"late\",pool=\"desk\",queue=\"bookings\",state=\"completed\"} 1"));
    CHECK(shows("marigoldstile_jobs_finished_total{outcome=\"overdue\",pool=\"desk\",queue=\"bookings\",state=\"completed\"} 1"));
    CHECK(shows("marigoldstile_jobs_finished_total{outcome=\"cancelled\",pool=\"desk\",queue=\"bookings\",state=\"cancelled\"} 1"));
    CHECK(shows("marigoldstile_job_first_start_wait_seconds_count{pool=\"desk\"} 2"));
    CHECK(shows("marigoldstile_job_first_start_wait_seconds_bucket{pool=\"desk\",le=\"0.1\"} 1"));
    CHECK(shows("marigoldstile_pool_active_jobs{pool=\"desk\"} 0"));
    CHECK(shows("marigoldstile_pool_waiting_cores{pool=\"desk\"} 0"));
    CHECK(fleet.hosts.at("host-0")->node->metrics().find("marigoldstile_pool_decision_duration_seconds_count{pool=\"desk\"}") != std::string::npos);
}

TEST_CASE("the events with a job's id show its call, each run with its worker, and its end")
{
    const EventLog log;
    JobFleet fleet(1, 1);
    fleet.settle();
    submitJobs(fleet, 1, oneStep(1));
    fleet.runFor(3s);
    CHECK(log.namesForId(jobId(0)) == std::vector<std::string> { "job-accepted", "run-placed", "answered", "run-ended", "job-finished" });
    const auto answered = log.last("answered");
    CHECK(answered.component == "calls");
    CHECK(answered.at("verb") == "submit");
    CHECK(answered.at("outcome") == "accepted");
    CHECK(answered.number("tookMs") < 100);
    CHECK(answered.number("configuration") == 1);
    const auto placed = log.last("run-placed");
    CHECK(placed.at("task") == "0.0");
    CHECK(placed.number("run") == 1);
    CHECK(placed.at("worker") == "w0");
    CHECK(placed.number("freeMilliCores") == 3000);
    const auto ended = log.last("run-ended");
    CHECK(ended.at("task") == "0.0");
    CHECK(ended.number("run") == 1);
    CHECK(ended.at("worker") == "w0");
    CHECK(ended.at("how") == "done");
    CHECK(ended.at("current") == "yes");
}

TEST_CASE("the log tells a crashed worker from one whose machine is in maintenance, and how long its runs had run")
{
    const EventLog log;
    JobFleet fleet(1, 2);
    fleet.setRunTime(20s);
    fleet.settle();
    submitJobs(fleet, 1, oneStep(1, 20s));
    fleet.runFor(500ms);
    fleet.crashWorker(fleet.busyWorker().entry.id);
    fleet.runFor(3s);
    CHECK(log.last("worker-lost").at("reason") == "crashed");
    CHECK(log.last("run-lost").number("ageMs") > 500);
    auto& worker = fleet.busyWorker();
    worker.crash();
    fleet.machines.at(worker.entry.machine).state = Jobs::Machine::State::Maintenance;
    fleet.runFor(3s);
    CHECK(log.last("worker-lost").at("reason") == "ordered");
}
