/// Upstreams that leave the fleet, move to another pool or are killed.

#include "Process/FleetLoad.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <optional>
#include <stdexcept>

using namespace ProcessTests;

namespace {

constexpr std::chrono::seconds leavingTarget { 3 }; ///< After this time a leaving upstream must get no new requests.

/// Number of requests of a service whose body hash is in `hashes`.
template<typename Hashes>
std::size_t countOf(const std::vector<RequestRecord>& records, const std::string& service, const Hashes& hashes)
{
    return static_cast<std::size_t>(std::count_if(records.begin(), records.end(), [&](const auto& it) {
        return it.request.kind().service == service && hashes.count(it.request.bodyHash());
    }));
}

/// Runs of a moving upstream, and its pool and state at each host, read after the runs.
struct Sample {
    std::multiset<std::string> running;
    std::map<std::string, std::uint64_t> ran;
    std::vector<std::string> poolStates;

    /// Number of hosts whose text, pool and state, begins with this one.
    std::size_t countAt(const std::string& poolState) const
    {
        return static_cast<std::size_t>(std::ranges::count_if(poolStates, [&poolState](const auto& it) { return it.starts_with(poolState); }));
    }

    std::string text() const
    {
        std::string text;
        for (const auto& it : poolStates)
            text += (text.empty() ? "" : ", ") + it;
        return text;
    }
};

Sample sampleOf(const Fleet& fleet, const FleetUpstream& upstream)
{
    Sample sample;
    sample.running = fleet.runningOn(upstream);
    sample.ran = fleet.runsOf(upstream);
    for (const auto& it : fleet.hosts())
        sample.poolStates.push_back(fleet.poolAndStateOf(it, upstream.name));
    return sample;
}

/// Name of an upstream that runs idempotent and other requests. Of nine requests of each kind on three upstreams with eight slots each,
/// one kind would else be on a single upstream.
std::string upstreamWithBothKinds(const Fleet& fleet, const std::vector<TestRequest>& requests)
{
    for (const char* name : { "desk-imlil-1", "desk-imlil-2", "desk-imlil-3" }) {
        const auto running = fleet.runningOn(fleet.upstream(name));
        const auto runs = [&](bool idempotent) {
            return std::ranges::any_of(requests, [&](const auto& it) { return it.kind().idempotent == idempotent && running.count(it.bodyHash()); });
        };
        if (runs(true) && runs(false))
            return name;
    }
    throw std::runtime_error("no upstream runs requests of both kinds");
}

} // namespace

TEST_CASE("a leaving upstream gets no new requests from 3 s after the host list marks it")
{
    Fleet fleet({ .basePort = 28300 });
    const FleetUpstream& leaving = fleet.upstream("desk-imlil-1");
    const FleetUpstream& staying = fleet.upstream("desk-imlil-2");
    FleetLoad load(fleet.allHosts(), 20, { { "lesson-booking", true, 50 } });
    REQUIRE(load.waitForMore(100));
    CHECK(fleet.startCountOf(leaving) > 0);
    fleet.publishHostList(leaving.name);
    std::this_thread::sleep_for(leavingTarget);
    const auto ranBefore = fleet.startCountOf(leaving);
    const auto stayingBefore = fleet.startCountOf(staying);
    CHECK(load.waitForMore(600));
    CHECK(fleet.startCountOf(leaving) == ranBefore);
    CHECK(fleet.startCountOf(staying) > stayingBefore);
    const auto records = load.stop();
    const Tally sum = tally(records, fleet.runs());
    MESSAGE(sum.text());
    CHECK(sum.hasNoViolations());
}

TEST_CASE("an upstream moved under load drains before it serves the target pool, and never runs requests of both pools at once")
{
    Fleet fleet({ .basePort = 28400 });
    const FleetUpstream& moved = fleet.upstream("desk-imlil-3");
    FleetLoad load(fleet.allHosts(), 40, { { "lesson-booking", false, 300 }, { "roster-reading", false, 40 } });
    REQUIRE(load.waitForMore(150));
    REQUIRE_MESSAGE(fleet.ctl({ "move", moved.name, "--to", "juniors" }) == 0, fleet.ctlOutput());
    std::vector<Sample> samples;
    const bool serves = eventually([&] {
        samples.push_back(sampleOf(fleet, moved));
        return samples.back().poolStates.front() == "juniors serving";
    });
    CHECK(serves);
    CHECK(load.waitForMore(200));
    samples.push_back(sampleOf(fleet, moved));
    const auto records = load.stop();
    std::optional<std::size_t> deskRanAtFirstTarget;
    bool sawDraining = false;
    bool hasArrived = false;
    bool hasLeft = false;
    for (const auto& it : samples) {
        const bool both = countOf(records, "lesson-booking", it.running) && countOf(records, "roster-reading", it.running);
        CHECK_FALSE(both);
        if (hasLeft && it.countAt("desk") > 0)
            break; // The planner has moved the upstream back.
        hasLeft = hasLeft || it.countAt("juniors") == it.poolStates.size();
        // Hosts learn of each step of the move at different times. The first that learns of the last step may send requests of the
        // target pool while others still report an earlier step.
        const bool isFirstArrival = !hasArrived && it.countAt("juniors") > 0;
        hasArrived = hasArrived || isFirstArrival;
        const std::size_t targetRan = countOf(records, "roster-reading", it.ran);
        if (!hasArrived || (isFirstArrival && it.countAt("desk serving") > 0))
            CHECK_MESSAGE(targetRan == 0, it.text());
        sawDraining = sawDraining || it.countAt("desk draining") > 0;
        const std::size_t deskRan = countOf(records, "lesson-booking", it.ran);
        if (targetRan > 0 && !deskRanAtFirstTarget)
            deskRanAtFirstTarget = deskRan;
        if (deskRanAtFirstTarget)
            CHECK_MESSAGE(deskRan == *deskRanAtFirstTarget, it.text());
    }
    CHECK(sawDraining);
    CHECK(deskRanAtFirstTarget);
    const Tally sum = tally(records, fleet.runs());
    MESSAGE(sum.text() << "; samples " << samples.size());
    CHECK(sum.hasNoViolations());
}

TEST_CASE("a killed upstream with more idempotent requests in flight than there are free slots elsewhere: all are answered")
{
    Fleet fleet({ .basePort = 28900 });
    FleetUpstream& killed = fleet.upstream("desk-imlil-1");
    const std::vector<RequestKind> kinds(18, { "lesson-booking", true, 1200 });
    std::multiset<std::string> inFlight;
    const auto records = sendAtOnce(fleet.allHosts(), kinds, [&](const auto&) {
        CHECK(eventually([&] { return fleet.runningTotal() == kinds.size(); }, std::chrono::seconds(10)));
        inFlight = fleet.runningOn(killed);
        killed.process.kill();
    });
    CHECK(inFlight.size() > 4); // The two other upstreams run six of their eight slots each, so four slots are free.
    for (const auto& it : records)
        CHECK_MESSAGE(it.request.matches(it.attempts.front()), it.attempts.front().reason);
}

TEST_CASE("a killed upstream: idempotent requests are answered by others, the rest in flight have an unknown outcome")
{
    Fleet fleet({ .basePort = 28500 });
    // Two runs after each other fit the deadline, since the four or five slots that are free elsewhere may be too few at first.
    std::vector<RequestKind> kinds;
    for (unsigned i = 0; i < 18; ++i)
        kinds.push_back({ "lesson-booking", i / 3 % 2 == 0, 1500 });
    std::multiset<std::string> inFlight;
    std::map<std::string, std::uint64_t> runs;
    const auto records = sendAtOnce(fleet.allHosts(), kinds, [&](const auto& requests) {
        CHECK(eventually([&] { return fleet.runningTotal() == kinds.size(); }, std::chrono::seconds(10)));
        FleetUpstream& killed = fleet.upstream(upstreamWithBothKinds(fleet, requests));
        inFlight = fleet.runningOn(killed);
        runs = fleet.runsOf(killed);
        killed.process.kill();
    });
    for (const auto& [hash, count] : fleet.runs())
        runs[hash] += count;
    std::size_t unknown = 0;
    for (const auto& it : records) {
        const bool expectsUnknown = inFlight.count(it.request.bodyHash()) && !it.request.kind().idempotent;
        const HttpReply& reply = it.attempts.front();
        unknown += reply.unknown();
        CHECK_MESSAGE((expectsUnknown ? reply.unknown() && reply.reason == "upstream-lost" : it.request.matches(reply)), reply.status << " " << reply.outcome << " " << reply.reason);
    }
    CHECK(inFlight.size() > unknown);
    CHECK(unknown > 0);
    const Tally sum = tally(records, runs);
    MESSAGE(sum.text() << "; in flight on the killed upstream " << inFlight.size());
    CHECK(sum.hasNoViolations());
}
