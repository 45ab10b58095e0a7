/// The executor stand-in: answers, slots, cancellation and injected faults.

#include "Standins/StandinFixture.h"

#include <doctest/doctest.h>

using Adapters::HttpEnd;
using Standins::ExecutorFaultMode;
using Standins::ExecutorFixture;

namespace {

constexpr std::chrono::milliseconds shortRun { 1 };
constexpr std::chrono::hours endlessRun { 1 };

Standins::ExecutorSettings settingsWith(std::chrono::milliseconds runTime, unsigned slots)
{
    Standins::ExecutorSettings settings;
    settings.runTime = runTime;
    settings.slots = slots;
    return settings;
}

} // namespace

TEST_CASE("an executor answers with the request's id, body hash and body, and counts the run")
{
    ExecutorFixture fixture(settingsWith(shortRun, 8));
    const auto outcome = fixture.call("POST", "/run/desk", "r1", "hello").get();
    CHECK(outcome.status == 200);
    CHECK(outcome.header("marigold-request-id") == "r1");
    CHECK(outcome.body == "ran r1 " + Standins::bodyHash("hello") + " hello");
    CHECK(Standins::runOn(*fixture.loop, [&] { return fixture.executor->runsOfBody("hello"); }) == 1);
}

TEST_CASE("an executor without a free slot refuses without running; cancelling a task frees its slot")
{
    ExecutorFixture fixture(settingsWith(endlessRun, 1));
    auto first = fixture.startTask("r1");
    const auto refused = fixture.call("POST", "/run/desk", "r2", "second").get();
    CHECK(refused.status == 503);
    CHECK(refused.header("marigold-refused") == "not-run");
    CHECK(Standins::runOn(*fixture.loop, [&] { return fixture.executor->runsOfBody("second"); }) == 0);
    CHECK(fixture.call("DELETE", "/run/r1", "", "").get().status == 200);
    CHECK(first.get().status == 499);
    CHECK(fixture.call("DELETE", "/run/r1", "", "").get().status == 404);
    auto third = fixture.startTask("r3");
    const auto stats = fixture.stats();
    CHECK(stats.ran == 2);
    CHECK(stats.refused == 1);
    CHECK(stats.cancelled == 1);
    CHECK(stats.maximumRunning == 1);
}

TEST_CASE("an executor finishes held tasks when the mode changes, not before and once each")
{
    ExecutorFixture fixture(settingsWith(shortRun, 8));
    fixture.setFault({ .mode = ExecutorFaultMode::Hold });
    auto first = fixture.startTask("r1");
    auto second = fixture.startTask("r2");
    fixture.setFault({ .mode = ExecutorFaultMode::Hold });
    fixture.call("DELETE", "/run/r2", "", "").get();
    CHECK(second.get().status == 499);
    CHECK(fixture.stats().running == 1);
    fixture.setFault({});
    CHECK(first.get().body.starts_with("ran r1 "));
    CHECK(fixture.stats().running == 0);
    CHECK(fixture.call("POST", "/run/desk", "r3", "later").get().status == 200);
}

TEST_CASE("injected faults of an executor reach the client")
{
    ExecutorFixture fixture(settingsWith(shortRun, 8));
    fixture.setFault({ .mode = ExecutorFaultMode::FailFast });
    CHECK(fixture.call("POST", "/run/desk", "r1", "a").get().status == 500);
    fixture.setFault({ .mode = ExecutorFaultMode::Truncate });
    CHECK(fixture.call("POST", "/run/desk", "r2", "b").get().end == HttpEnd::Broken);
    fixture.setFault({ .mode = ExecutorFaultMode::WrongId });
    CHECK(fixture.call("POST", "/run/desk", "r3", "c").get().header("marigold-request-id") == "not-r3");
    CHECK(fixture.stats().ran == 3);
}
