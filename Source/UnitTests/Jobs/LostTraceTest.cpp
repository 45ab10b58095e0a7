/// Log events from which operators see where an accepted job may have been lost: every call or order that ends without an
/// answer has one.

#include "EventLog.h"
#include "JobFleet.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace std::chrono_literals;
using Ports::JobOutcome;
using Ports::JobVerb;

namespace {

void submit(JobFleet& fleet, const Jobs::JobSpec& spec)
{
    const auto answer = fleet.call("host-0", JobVerb::Submit, jobId(1), spec);
    REQUIRE(answer);
    REQUIRE(answer->outcome == JobOutcome::Accepted);
}

/// Events of failed calls to the store of the given kind.
std::vector<LoggedEvent> failedCalls(const EventLog& log, const std::string& call)
{
    auto events = log.all("call-failed");
    std::erase_if(events, [&call](const auto& it) { return it.at("call") != call; });
    return events;
}

} // namespace

TEST_CASE("a start that its worker never answers is logged while it is pending, and as void once the worker's lease has lapsed")
{
    const EventLog log;
    JobFleet fleet(1, 1);
    fleet.settle();
    fleet.workers.at("w0")->isPartitioned = true;
    submit(fleet, oneStep(1));
    fleet.runFor(4s);
    const auto unanswered = log.all("order-unanswered");
    REQUIRE(unanswered.size() == 1);
    CHECK(unanswered[0].component == "session");
    CHECK(unanswered[0].id == jobId(1));
    CHECK(unanswered[0].at("order") == "start");
    CHECK(unanswered[0].at("task") == "0.0");
    CHECK(unanswered[0].number("run") == 1);
    CHECK(unanswered[0].at("worker") == "w0");
    CHECK(unanswered[0].number("tries") >= 3);
    CHECK(unanswered[0].number("waitedMs") > 3000);
    CHECK(unanswered[0].number("lastAnswerAgeMs") > 3000);
    CHECK(unanswered[0].number("failedPolls") > 0);
    fleet.runFor(10s);
    CHECK(log.last("order-expired").id == jobId(1));
    CHECK(log.all("order-refused").empty());
}

TEST_CASE("a start that no poll shows is logged once and keeps being retried until it is carried out")
{
    const EventLog log;
    JobFleet fleet(1, 1);
    fleet.setRunTime(200s);
    fleet.settle();
    auto& port = *fleet.hosts.at("host-0")->workers;
    port.startsToLose = 1000;
    submit(fleet, oneStep(1));
    fleet.runFor(100s);
    const auto events = log.all("order-unanswered");
    REQUIRE(events.size() == 1);
    CHECK(events[0].id == jobId(1));
    CHECK(events[0].at("order") == "start");
    CHECK(log.all("order-refused").empty());
    CHECK(log.all("order-obsolete").empty());
    CHECK(port.startsToLose < 950);
    port.startsToLose = 0;
    fleet.runFor(3s);
    CHECK(fleet.runMonitor.starts == 1);
}

TEST_CASE("a start whose answers are lost isn't repeated, or logged as unanswered, once a poll shows the run")
{
    const EventLog log;
    JobFleet fleet(1, 1);
    fleet.setRunTime(200s);
    fleet.settle();
    fleet.hosts.at("host-0")->workers->startAnswersToLose = 1000;
    submit(fleet, oneStep(1));
    fleet.runFor(100s);
    CHECK(log.last("order-obsolete").at("order") == "start");
    CHECK(log.all("order-unanswered").empty());
    CHECK(log.all("order-refused").empty());
    CHECK(fleet.hosts.at("host-0")->workers->startAnswersToLose >= 990);
    CHECK(fleet.runMonitor.starts == 1);
}

TEST_CASE("an owner that can't read its journal logs the failures until it serves")
{
    const EventLog log;
    JobFleet fleet(1, 1);
    while (fleet.ownerOf("desk").empty())
        fleet.runFor(1ms);
    fleet.store.isDown = true;
    fleet.runFor(1500ms);
    fleet.store.isDown = false;
    fleet.runFor(2s);
    const auto failed = log.last("load-failed");
    CHECK(failed.component == "journal");
    CHECK(failed.id == "desk");
    CHECK(failed.at("step") == "head");
    CHECK(failed.number("status") == static_cast<long>(Ports::PlatformStatus::Uncertain));
    CHECK(failed.number("tries") >= 1);
    CHECK(log.last("recovering").number("ownedForMs") >= 1000);
    CHECK(log.last("recovered").number("tookMs") >= 1000);
}

TEST_CASE("lease renewals and releases of duties that the store doesn't answer are logged")
{
    const EventLog log;
    JobFleet fleet(2, 1);
    fleet.settle();
    const auto owner = fleet.ownerOf("desk");
    fleet.store.isDown = true;
    fleet.runFor(1500ms);
    const auto renewals = failedCalls(log, "renew");
    REQUIRE(!renewals.empty());
    CHECK(renewals[0].component == "ownership");
    CHECK(renewals[0].number("status") == static_cast<long>(Ports::PlatformStatus::Uncertain));
    CHECK(renewals[0].number("sinceContactMs") > 500);
    fleet.hosts.at(owner)->node->leave([] {});
    fleet.runFor(2s);
    const auto releases = failedCalls(log, "release");
    REQUIRE(!releases.empty());
    CHECK(std::ranges::any_of(releases, [](const auto& it) { return it.id == "desk"; }));
    CHECK(!failedCalls(log, "publish-leaving").empty());
}

TEST_CASE("a call that is unanswered when its host shuts down is logged, and so is the failing commit that it waits for")
{
    const EventLog log;
    JobFleet fleet(1, 1);
    fleet.settle();
    fleet.store.isDown = true;
    fleet.call("host-0", JobVerb::Submit, jobId(7), oneStep(1), 200ms);
    fleet.runFor(1s);
    const auto commit = log.last("commit-failed");
    CHECK(commit.component == "journal");
    CHECK(commit.id == "desk");
    CHECK(commit.number("status") == static_cast<long>(Ports::PlatformStatus::Uncertain));
    CHECK(commit.number("stalledMs") >= 500);
    CHECK(commit.number("effects") >= 1);
    CHECK(commit.number("waiting") >= 0);
    CHECK(commit.number("segment") >= 1);
    fleet.hosts.at("host-0")->node->abandon();
    const auto line = log.last("unanswered");
    CHECK(line.component == "calls");
    CHECK(line.id == jobId(7));
    CHECK(line.at("verb") == "submit");
    CHECK(line.number("waitedMs") >= 1000);
    CHECK(line.number("calls") == 1);
}

TEST_CASE("a repeated fault is logged at most once a second")
{
    const EventLog log;
    JobFleet fleet(1, 1);
    fleet.settle();
    submit(fleet, oneStep(1));
    fleet.runFor(2s);
    fleet.store.isDown = true;
    fleet.call("host-0", JobVerb::Cancel, jobId(1), {}, 100ms);
    fleet.call("host-0", JobVerb::Submit, jobId(2), oneStep(1), 100ms);
    fleet.runFor(5s);
    const auto events = log.all("commit-failed");
    CHECK(events.size() >= 2);
    CHECK(events.size() <= 6);
}
