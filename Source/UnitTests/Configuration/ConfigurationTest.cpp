/// Invariants of configuration changes under seeded schedules of faults, with all safeguards and with each one turned off.

#include "Configuration/ConfigurationFleet.h"

#include <doctest/doctest.h>

using namespace Decision;
using namespace Testing;

namespace {

constexpr std::uint64_t scheduleCount = 200;

/// True when a schedule shows the violation; the search stops at the first one.
bool findsViolation(ConfigurationViolation violation, ConfigurationGuards guards)
{
    for (std::uint64_t seed = 1; seed <= scheduleCount; ++seed) {
        ConfigurationFleet fleet(seed, guards);
        fleet.runFaults(seconds(30));
        if (fleet.violations.count(violation))
            return true;
    }
    return false;
}

/// Brings all hosts to revision 2, then restores the store to revision 1.
void restoreOlderHead(ConfigurationFleet& fleet)
{
    fleet.runFor(seconds(1));
    fleet.publish(0, "first", 0, "one");
    fleet.runFor(seconds(5));
    const auto copy = fleet.store.list("");
    fleet.publish(1, "second", 1, "two");
    fleet.runFor(fleet.simulation.between(milliseconds(3000), milliseconds(6000)));
    REQUIRE(fleet.allAt(2));
    fleet.store.restore(copy);
    fleet.runFor(seconds(20));
}

} // namespace

TEST_CASE("configuration invariants hold with two operators through store faults, disconnected hosts and restarts")
{
    std::size_t accepted = 0;
    std::size_t conflicts = 0;
    for (std::uint64_t seed = 1; seed <= scheduleCount; ++seed) {
        ConfigurationFleet fleet(seed);
        fleet.runFaults(seconds(30));
        for (const auto violation : fleet.violations)
            FAIL_CHECK("violation ", static_cast<int>(violation), " with seed ", seed);
        accepted += fleet.acceptedCount;
        conflicts += fleet.conflictCount;
    }
    CHECK(accepted > scheduleCount);
    CHECK(conflicts > scheduleCount);
}

TEST_CASE("each safeguard of configuration prevents a violation that occurs without it")
{
    ConfigurationGuards guards;
    SUBCASE("settling a lost answer by reading")
    {
        guards.publisher.settleByReading = false;
        CHECK(findsViolation(ConfigurationViolation::ConflictForAcceptedChange, guards));
    }
    SUBCASE("compare-and-swap of the head")
    {
        guards.publisher.compareHead = false;
        CHECK(findsViolation(ConfigurationViolation::TwoChangesAtOneRevision, guards));
    }
}

TEST_CASE("of two changes on one base exactly one is accepted, and the other gets a conflict that names it")
{
    for (std::uint64_t seed = 1; seed <= scheduleCount; ++seed) {
        ConfigurationFleet fleet(seed);
        fleet.store.faults.lostAnswerPercent = 30;
        fleet.publish(0, "left", 0, "left");
        fleet.publish(4, "right", 0, "right");
        fleet.runFor(seconds(14));
        const auto& left = fleet.results.at("left");
        const auto& right = fleet.results.at("right");
        const auto& winner = left.status == PublishStatus::Accepted ? left : right;
        const auto& loser = left.status == PublishStatus::Accepted ? right : left;
        CHECK(winner.status == PublishStatus::Accepted);
        CHECK(loser.status == PublishStatus::Conflict);
        CHECK(loser.currentChangeId == winner.changeId);
        CHECK(loser.currentRevision == 1);
    }
}

TEST_CASE("an older head in the store raises an alarm and isn't adopted, and only a change on the revision in force replaces it")
{
    ConfigurationGuards unsafeGuards;
    unsafeGuards.keeper.requireHigherRevision = false;
    std::size_t decreasedCount = 0;
    for (std::uint64_t seed = 1; seed <= scheduleCount; ++seed) {
        ConfigurationFleet unguarded(seed, unsafeGuards);
        restoreOlderHead(unguarded);
        decreasedCount += unguarded.violations.count(ConfigurationViolation::RevisionDecreased);

        ConfigurationFleet fleet(seed);
        restoreOlderHead(fleet);
        CHECK(fleet.allAt(2));
        CHECK(std::any_of(fleet.hosts.begin(), fleet.hosts.end(), [](const auto& host) { return !host->keeper->alarm().empty(); }));
        fleet.publish(0, "stale", 1, "stale");
        fleet.publish(0, "third", 2, "three");
        fleet.runFor(seconds(20));
        CHECK(fleet.results.at("stale").status == PublishStatus::Conflict);
        CHECK(fleet.results.at("third").revision == 3);
        CHECK(fleet.allAt(3));
        CHECK(fleet.violations.empty());
    }
    CHECK(decreasedCount > 0);
}

TEST_CASE("while the store is down a new host gets the configuration from peers, and isn't ready before")
{
    const auto revisionOfNewHost = [](KeeperGuards keeper) {
        ConfigurationFleet fleet(5, { keeper, {} });
        fleet.publish(0, "first", 0, std::string(2 * maximumChunkBytes + 7, 'x'));
        fleet.runFor(seconds(5));
        REQUIRE((fleet.allAt(1) || !keeper.fetchFromPeers));
        fleet.store.faults.down = true;
        fleet.restart(1);
        CHECK_FALSE(fleet.hosts[1]->keeper->isReady(fleet.simulation.now()));
        fleet.runFor(seconds(5));
        return fleet.hosts[1]->keeper->revision();
    };
    KeeperGuards withoutPeers;
    withoutPeers.fetchFromPeers = false;
    CHECK(revisionOfNewHost(withoutPeers) == 0);
    CHECK(revisionOfNewHost({}) == 1);

    ConfigurationFleet fleet(6);
    fleet.publish(0, "first", 0, "one");
    fleet.runFor(seconds(5));
    fleet.store.faults.down = true;
    for (std::size_t i = 0; i < fleet.hosts.size(); ++i)
        fleet.restart(i);
    fleet.runFor(seconds(30));
    CHECK_FALSE(fleet.hosts[0]->keeper->isReady(fleet.simulation.now()));
}

TEST_CASE("a host with a lower revision than a peer isn't ready")
{
    const auto isReadyBehindPeer = [](bool guard) {
        const FakeValidator validator;
        KeeperGuards guards;
        guards.readyOnlyWhenCurrent = guard;
        auto keeper = ConfigurationKeeper::create({ "a", "asni", 1 }, validator, guards).take();
        const Common::Instant now { seconds(1) };
        Messages::Heartbeat beat;
        beat.configurationRevision = 8;
        keeper->handle(now, HeartbeatReceived { "b", beat });
        keeper->handle(now, ConfigurationOffered { "c", { 7, "seventh", std::make_shared<const std::string>("seven") } });
        return keeper->isReady(now);
    };
    CHECK(isReadyBehindPeer(false));
    CHECK_FALSE(isReadyBehindPeer(true));
}
