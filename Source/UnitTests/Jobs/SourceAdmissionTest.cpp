/// Refusal of jobs of sources that crash their workers.

#include "Jobs/Decision/SourceAdmission.h"

#include <doctest/doctest.h>
#include <vector>

using namespace Jobs;
using namespace std::chrono_literals;

namespace {

constexpr auto start = Common::Instant(1h);
constexpr std::uint64_t tenCores = 10000;
const TaskSource crashing { "crashing", {} };
const TaskSource sound { "sound", {} };

/// A bounded source of which tasks waited for that long, while ten of them and 5 cores' worth of work ended each second.
SourceAdmission measured(std::chrono::milliseconds length = 4000ms, unsigned workEach100ms = 500)
{
    SourceAdmission admission;
    for (auto time = 0ms; time <= length; time += 100ms) {
        if (time > 0ms)
            admission.noteEnded(crashing, { 1, static_cast<double>(workEach100ms) });
        admission.sample({ crashing }, { crashing }, tenCores, start + time);
    }
    return admission;
}

/// A job of two tasks of half a second on one core, of use for 6 s, behind that many tasks of the same kind.
SourceRequest requestBehind(double tasks)
{
    return { { tasks, tasks * 500 }, { 2, 1000 }, 1000ms, 6000ms };
}

} // namespace

TEST_CASE("source admission: a job that would end too late to be of use is refused until the tasks ahead of it have shrunk enough")
{
    auto admission = measured();
    CHECK_FALSE(admission.refusalOf(crashing, requestBehind(45), start + 4000ms));
    const auto refusal = admission.refusalOf(crashing, requestBehind(82), start + 4000ms); // 41 in 4 s, then 1 s of its own.
    REQUIRE(refusal);
    CHECK(refusal->expected == 9000ms);
    CHECK(refusal->retryAfter == 3000ms);
    CHECK_FALSE(admission.refusalOf(sound, requestBehind(1e6), start + 4000ms));
}

TEST_CASE("source admission: refused callers come back one after the other, as their work can be done")
{
    auto admission = measured();
    std::vector<std::chrono::milliseconds> returns;
    returns.reserve(4);
    for (int n = 0; n < 4; ++n)
        returns.push_back(admission.refusalOf(crashing, requestBehind(82), start + 4000ms)->retryAfter);
    CHECK(returns.front() == 3000ms);
    for (std::size_t n = 1; n < returns.size(); ++n)
        CHECK(returns[n] >= returns[n - 1] + 195ms); // Two tasks, at ten a second.
    for (int n = 0; n < 200; ++n)
        CHECK(admission.refusalOf(crashing, requestBehind(82), start + 4000ms)->retryAfter <= 15s);
}

TEST_CASE("source admission: nothing is refused without 2 s of evidence, or of jobs that take longer than what was measured can tell")
{
    SourceAdmission fresh;
    CHECK_FALSE(fresh.refusalOf(crashing, requestBehind(1e6), start));
    auto early = measured(1900ms);
    CHECK_FALSE(early.refusalOf(crashing, requestBehind(1e6), start + 1900ms));
    auto enough = measured(2000ms);
    CHECK(enough.refusalOf(crashing, requestBehind(1e6), start + 2000ms));
    auto admission = measured();
    auto longer = requestBehind(1e6);
    longer.criticalPath = 2100ms;
    CHECK_FALSE(admission.refusalOf(crashing, longer, start + 4000ms));
    CHECK_FALSE(admission.refusalOf(crashing, requestBehind(1e6), start + 20s)); // Nothing is known of the time since.
}

TEST_CASE("source admission: nothing is refused once no task waits, or the source is released, and what ends then isn't counted")
{
    auto admission = measured();
    admission.sample({ crashing }, {}, tenCores, start + 4100ms);
    CHECK_FALSE(admission.isWaiting(crashing));
    CHECK_FALSE(admission.refusalOf(crashing, requestBehind(1e6), start + 4100ms));
    admission.noteEnded(crashing, { 1000, 1e6 });
    admission.sample({ crashing }, { crashing }, tenCores, start + 4200ms);
    const auto refusal = admission.refusalOf(crashing, requestBehind(82), start + 4200ms);
    REQUIRE(refusal);
    CHECK(refusal->expected > 8500ms);

    admission.sample({}, {}, tenCores, start + 4300ms);
    admission.sample({ crashing }, { crashing }, tenCores, start + 4400ms);
    CHECK_FALSE(admission.refusalOf(crashing, requestBehind(1e6), start + 4400ms));
}

TEST_CASE("source admission: a source of which nothing has ended is refused what must wait for it, and not for ever")
{
    SourceAdmission admission;
    for (auto time = 0ms; time <= 4000ms; time += 100ms)
        admission.sample({ crashing }, { crashing }, tenCores, start + time);
    const auto refusal = admission.refusalOf(crashing, requestBehind(40), start + 4000ms);
    REQUIRE(refusal);
    CHECK(refusal->retryAfter == 15s);
    CHECK_FALSE(admission.refusalOf(crashing, { {}, { 1, 500 }, 500ms, 6000ms }, start + 4000ms));
}

TEST_CASE("source admission: large tasks that wait ahead of small ones don't make jobs be refused where either measure says that they end")
{
    auto admission = measured();
    SourceRequest request { { 10, 100000 }, { 2, 1000 }, 1000ms, 6000ms };
    CHECK_FALSE(admission.refusalOf(crashing, request, start + 4000ms));
    request.ahead.tasks = 100;
    CHECK(admission.refusalOf(crashing, request, start + 4000ms));
}

TEST_CASE("source admission: workers that have joined raise the estimate at once; those that are down for a moment don't lower it")
{
    auto admission = measured();
    const auto request = requestBehind(82);
    REQUIRE(admission.refusalOf(crashing, request, start + 4000ms));
    admission.sample({ crashing }, { crashing }, tenCores / 2, start + 4001ms);
    const auto fewer = admission.refusalOf(crashing, request, start + 4001ms);
    REQUIRE(fewer);
    CHECK(fewer->expected < 9100ms);
    admission.sample({ crashing }, { crashing }, 2 * tenCores, start + 4002ms);
    CHECK_FALSE(admission.refusalOf(crashing, request, start + 4002ms));
}
