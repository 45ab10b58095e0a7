/// Job records: encoding, replay, snapshots and validation.

#include "Jobs/Decision/JobTable.h"
#include "JobFleet.h"

#include <doctest/doctest.h>
#include <random>

using namespace Jobs;
using namespace std::chrono_literals;

namespace {

JobAccepted accepted(const JobId& id, JobSpec spec, unsigned attempts = 2)
{
    JobAccepted record;
    record.job = id;
    record.queue = "bookings";
    record.maximumAttempts = attempts;
    record.spec = std::move(spec);
    return record;
}

} // namespace

TEST_CASE("records are the same after being encoded and decoded")
{
    std::string text;
    const std::vector<JobRecord> records { accepted(jobId(1), oneStep(3)), RunStarted { { jobId(1), 0, 0, 2 }, 4, "w1" }, RunEnded { { jobId(1), 0, 0, 2 }, 4, RunEnd::Failed, "c", {} }, JobCancelled { jobId(1), {} }, JobFinished { jobId(2), "q", JobState::Failed, {} } };
    for (const auto& it : records)
        appendRecord(text, it);
    std::vector<JobRecord> read;
    REQUIRE(readRecords(text, read));
    REQUIRE(read.size() == records.size());
    CHECK(std::get<RunEnded>(read[2]).checkpoint == "c");
    CHECK(std::get<JobAccepted>(read[0]).spec.steps.size() == 1);
}

TEST_CASE("truncated or corrupted records are decoded without a crash or an endless loop")
{
    std::mt19937_64 random(7);
    std::string whole;
    appendRecord(whole, accepted(jobId(1), oneStep(3)));
    appendRecord(whole, RunStarted { { jobId(1), 0, 0, 2 }, 4, "w1" });
    for (unsigned n = 0; n < 20000; ++n) {
        auto text = whole.substr(0, random() % (whole.size() + 1));
        for (unsigned change = random() % 4; change > 0 && !text.empty(); --change)
            text[random() % text.size()] = static_cast<char>(random());
        std::vector<JobRecord> read;
        readRecords(text, read);
        CHECK(read.size() <= text.size());
    }
}

TEST_CASE("replaying a snapshot restores the state")
{
    JobTable table;
    auto spec = oneStep(2);
    spec.steps.push_back(spec.steps.front());
    spec.steps.back().after = { 0 };
    table.apply(accepted(jobId(1), spec, 3));
    table.apply(RunStarted { { jobId(1), 0, 0, 0 }, 1, "w1" });
    table.apply(RunEnded { { jobId(1), 0, 0, 0 }, 1, RunEnd::Done, "", {} });
    table.apply(RunStarted { { jobId(1), 0, 0, 1 }, 1, "w2" });
    table.apply(RunEnded { { jobId(1), 0, 0, 1 }, 1, RunEnd::Failed, "saved", {} });
    table.apply(RunStarted { { jobId(1), 0, 0, 1 }, 2, "w3" });
    table.apply(accepted(jobId(2), oneStep(1)));
    table.apply(JobCancelled { jobId(2), {} });
    JobTable restored;
    for (const auto& it : table.snapshot())
        restored.apply(it);
    const auto& step = restored.find(jobId(1))->occurrences.at(0).steps[0];
    CHECK(step.doneCount == 1);
    CHECK(step.tasks.at(1).state == Task::State::Placed);
    CHECK(step.tasks.at(1).worker == "w3");
    CHECK(step.tasks.at(1).lastRun == 2);
    CHECK(step.tasks.at(1).failures == 1);
    CHECK(step.tasks.at(1).checkpoint == "saved");
    CHECK(!restored.find(jobId(1))->isReleased(0, 1));
    CHECK(*restored.stateOf(jobId(2)) == JobState::Cancelled);
}

TEST_CASE("one member that is done completes its gang, and a member's failure counts once for the gang")
{
    JobTable table;
    auto spec = oneStep(3);
    spec.steps.front().isGang = true;
    table.apply(accepted(jobId(1), spec, 2));
    for (unsigned n = 0; n < 3; ++n)
        table.apply(RunStarted { { jobId(1), 0, 0, n }, 1, "w" });
    table.apply(RunEnded { { jobId(1), 0, 0, 1 }, 1, RunEnd::Failed, "", {} });
    CHECK(!isFinal(*table.stateOf(jobId(1))));
    for (unsigned n = 0; n < 3; ++n)
        table.apply(RunStarted { { jobId(1), 0, 0, n }, 2, "w" });
    table.apply(RunEnded { { jobId(1), 0, 0, 2 }, 2, RunEnd::Done, "", {} });
    CHECK(*table.stateOf(jobId(1)) == JobState::Completed);
}

namespace {

/// A gang of four, which a worker runs and fails.
JobTable tableWithFailedRuns(unsigned runs, unsigned failedMembers, unsigned attempts)
{
    JobTable table;
    auto spec = oneStep(4);
    spec.steps.front().isGang = true;
    table.apply(accepted(jobId(1), spec, attempts));
    for (unsigned run = 1; run <= runs && table.find(jobId(1)); ++run) {
        for (unsigned n = 0; n < 4; ++n)
            table.apply(RunStarted { { jobId(1), 0, 0, n }, run, "w" });
        for (unsigned n = 0; n < 4; ++n)
            table.apply(RunEnded { { jobId(1), 0, 0, n }, run, n < failedMembers ? RunEnd::Failed : RunEnd::Broken, "", {} });
    }
    return table;
}

} // namespace

// The members that share a failing worker used up all attempts in one run.
TEST_CASE("a run of a gang that fails counts as one attempt, however many of its members fail")
{
    for (const unsigned failedMembers : { 1U, 2U, 4U }) {
        for (const unsigned attempts : { 2U, 3U, 5U }) {
            CAPTURE(failedMembers);
            CAPTURE(attempts);
            auto table = tableWithFailedRuns(attempts - 1, failedMembers, attempts);
            CHECK_FALSE(isFinal(*table.stateOf(jobId(1))));
            // Nor do snapshots change the number of attempts that are left.
            JobTable restored;
            for (const auto& it : table.snapshot())
                restored.apply(it);
            REQUIRE(restored.find(jobId(1)));
            CHECK(restored.find(jobId(1))->occurrences.at(0).steps[0].gangFailures == attempts - 1);
            for (auto* it : { &table, &restored }) {
                it->apply(RunStarted { { jobId(1), 0, 0, 0 }, attempts, "w" });
                it->apply(RunEnded { { jobId(1), 0, 0, 0 }, attempts, RunEnd::Failed, "", {} });
                CHECK(*it->stateOf(jobId(1)) == JobState::Failed);
            }
        }
    }
}

TEST_CASE("invalid job specifications are rejected")
{
    auto spec = oneStep(1);
    CHECK(validationError(spec).empty());
    spec.steps.front().after = { 0 };
    CHECK(!validationError(spec).empty());
    CHECK(!validationError(oneStep(0)).empty());
    CHECK(!validationError(JobSpec()).empty());
    spec = oneStep(1);
    spec.payload = std::string(5000, 'x');
    CHECK(!validationError(spec).empty());
}

TEST_CASE("critical paths of a job whose steps all depend on each other are computed without visiting every path")
{
    // There are 2^254 paths through such a job.
    constexpr unsigned steps = 256;
    JobSpec spec;
    for (unsigned n = 0; n < steps; ++n) {
        auto& step = spec.steps.emplace_back();
        step.taskCount = 1;
        step.estimate = 10ms;
        for (unsigned earlier = 0; earlier < n; ++earlier)
            step.after.push_back(earlier);
    }
    CHECK(validationError(spec).empty());
    CHECK(criticalPathOf(spec) == 2560ms);
    const auto criticalPaths = criticalPathsOf(spec);
    CHECK(criticalPaths.front() == 2560ms);
    CHECK(criticalPaths.back() == 10ms);
}

TEST_CASE("tallies of crashes survive encoding, replay and snapshots")
{
    std::vector<JobRecord> records { accepted(jobId(1), oneStep(3)), RunStarted { { jobId(1), 0, 0, 2 }, 4, "w1" }, RunEnded { { jobId(1), 0, 0, 2 }, 4, RunEnd::Lost, "c", {} }, TaskSuspected { { jobId(1), 0, 0, 2 }, { 3, 2, 1 } } };
    for (unsigned round = 0; round < 3; ++round) {
        std::string text;
        for (const auto& it : records)
            appendRecord(text, it);
        std::vector<JobRecord> read;
        REQUIRE(readRecords(text, read));
        JobTable table;
        for (const auto& it : read)
            table.apply(it);
        const auto* task = table.findTask({ jobId(1), 0, 0, 2 });
        REQUIRE(task);
        CHECK(task->crashTally == CrashTally { 3, 2, 1 });
        CHECK(task->lastRun == 4);
        records = table.snapshot();
    }
}
