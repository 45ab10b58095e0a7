/// Placement of steps whose queue has an advice service.

#include "JobFleet.h"
#include "Jobs/Decision/AdviceQueue.h"

#include <doctest/doctest.h>

using namespace std::chrono_literals;
using Ports::JobOutcome;
using Ports::JobVerb;

TEST_CASE("a step without an answer from the advice service doesn't block the other steps of its pool")
{
    JobFleet fleet(1, 2);
    fleet.configuration.version = 2;
    fleet.configuration.queues.front().advice = Jobs::AdviceRule { 20ms, 5ms, 3s };
    fleet.publishConfiguration();
    fleet.settle();
    fleet.jobsWithoutAdvice = { jobId(1) };
    for (const unsigned n : { 1, 2 }) {
        const auto answer = fleet.call("host-0", JobVerb::Submit, jobId(n), oneStep(1));
        REQUIRE(answer);
        CHECK(answer->outcome == JobOutcome::Accepted);
    }
    fleet.runFor(10s);
    CHECK(fleet.stateOf("host-0", jobId(2)) == Jobs::JobState::Completed);
    CHECK(fleet.stateOf("host-0", jobId(1)) == Jobs::JobState::Queued);
}

TEST_CASE("a request that takes the advice service down is repeated ever more rarely, and doesn't hold up the others")
{
    Jobs::AdviceQueue queue;
    const auto start = Common::Instant(1h);
    queue.add({ { jobId(1), 0, 0, 0 }, { "w0" } });
    unsigned failed = 0;
    unsigned answered = 0;
    for (auto time = 0ms; time < 60s; time += 10ms) {
        if (time % 1s == 0ms)
            queue.add({ { jobId(2), 0, 0, 0 }, { "w0" } });
        const auto request = queue.next(start + time);
        if (!request)
            continue;
        if (request->step.job == jobId(1)) {
            ++failed;
            queue.onFailed(start + time);
        } else {
            ++answered;
            queue.onAnswered();
        }
    }
    CHECK(answered == 60);
    CHECK(failed > 5);
    CHECK(failed <= 20);
}
