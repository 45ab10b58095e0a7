#include "FakeApiClient.h"
#include "Objects/ObjectWriter.h"

#include <doctest/doctest.h>

using namespace UnitTests;
using Ctl::ExitCode;

namespace {

/// The demonstration's set is to be published; in force is one with another quota.
FakeFleet olderFleet()
{
    FakeFleet fleet;
    auto set = demoSet();
    set.teams.at("families").slotQuota = 4;
    fleet.document = Objects::ObjectWriter::write(set);
    fleet.inForce = { { "imlil", "entry-1", 1, true }, { "asni", "entry-3", 1, true } };
    return fleet;
}

bool contains(const std::string& text, const std::string& part) { return text.find(part) != std::string::npos; }

} // namespace

TEST_SUITE("marigoldctl publish")
{
    TEST_CASE("shows the difference and publishes the canonical text on the revision in force")
    {
        auto fleet = olderFleet();
        const auto result = runCtl(fleet, { "publish", demoPath(), "--reason", "more children" });
        CHECK(result.code == ExitCode::Ok);
        CHECK(contains(result.out, "~ team families\n    slotQuota: 4 -> 8\n"));
        CHECK(contains(result.out, "accepted as revision 2"));
        REQUIRE(fleet.publications.size() == 1);
        CHECK(fleet.publications[0].baseRevision == 1);
        CHECK(fleet.publications[0].reason == "more children");
        CHECK(fleet.publications[0].changeId.size() == 32);
        CHECK(fleet.document == Objects::ObjectWriter::write(demoSet()));
        CHECK(contains(runCtl(fleet, { "publish", demoPath() }).out, "nothing to publish"));
        CHECK(contains(runCtl(fleet, { "diff", demoPath() }).out, "no change to revision 2"));
        CHECK(fleet.publications.size() == 1);
    }

    TEST_CASE("publishes the first configuration of a fleet")
    {
        FakeFleet fleet;
        fleet.revision = 0;
        CHECK(runCtl(fleet, { "publish", demoPath() }).code == ExitCode::Ok);
        CHECK(fleet.revision == 1);
    }

    TEST_CASE("a conflict says who published and what changed, and publishes nothing")
    {
        auto fleet = olderFleet();
        auto raced = demoSet();
        raced.teams.at("families").slotQuota = 4;
        raced.teams.at("hotels").weight = 7;
        fleet.raceDocument = Objects::ObjectWriter::write(raced);
        fleet.trail = { { {}, "brahim", "publish change-of-brahim on revision 1: accepted", "hotels pay", 1, "entry-1" },
            { {}, "amina", "publish change-1 on revision 0: accepted", "first", 0, "entry-1" } };
        const auto result = runCtl(fleet, { "publish", demoPath() });
        CHECK(result.code == ExitCode::Conflict);
        CHECK(contains(result.err, "based on revision 1 and revision 2 is in force (by brahim, change change-of-brahim)"));
        CHECK(contains(result.err, "  revision 2 by brahim at 1970-01-01T00:00:00Z: hotels pay\n"));
        CHECK(contains(result.err, "changed since revision 1:\n~ team hotels\n    weight: 2 -> 7\n"));
        CHECK(contains(result.err, "your documents against what is in force:\n~ team families\n    slotQuota: 4 -> 8\n~ team hotels\n    weight: 7 -> 2\n"));
        CHECK_FALSE(contains(result.err, "amina"));
        CHECK(fleet.document == Objects::ObjectWriter::write(raced));
    }

    TEST_CASE("a conflict on a base that was never read shows what is left, as JSON too")
    {
        auto fleet = olderFleet();
        fleet.revision = 5;
        const auto result = runCtl(fleet, { "publish", demoPath(), "--base", "3", "--output", "json" });
        CHECK(result.code == ExitCode::Conflict);
        CHECK(contains(result.out, "\"changedSince\" : null"));
        CHECK(contains(result.out, "\"currentRevision\" : 5"));
        CHECK_FALSE(contains(result.err, "changed since"));
    }

    TEST_CASE("a lost answer is settled with the same change id")
    {
        for (const auto fault : { PublishFault::LostBefore, PublishFault::LostAfter, PublishFault::Unsettled }) {
            auto fleet = olderFleet();
            fleet.faults = { fault, PublishFault::StoreAway, PublishFault::Unreachable };
            const auto result = runCtl(fleet, { "publish", demoPath() });
            CHECK(result.code == ExitCode::Ok);
            CHECK(contains(result.out, "accepted as revision 2"));
            CHECK(fleet.revision == 2);
            CHECK(fleet.publications.size() == 4);
            for (const auto& call : fleet.publications)
                CHECK(call.changeId == fleet.publications[0].changeId);
        }
    }

    TEST_CASE("with another change id a repeated publication would end as a conflict with itself")
    {
        auto fleet = olderFleet();
        fleet.faults = { PublishFault::LostAfter };
        Ctl::PublishCall call { 1, "first-id", fleet.document, "" };
        CHECK_THROWS_AS(fleet.publish(call), Ctl::ApiError);
        call.changeId = "second-id";
        CHECK(fleet.publish(call).outcome == Ctl::PublishOutcome::Conflict);
    }

    TEST_CASE("an outcome that stays unknown is never called 'not accepted'")
    {
        auto fleet = olderFleet();
        fleet.faults = { PublishFault::LostAfter };
        fleet.faults.insert(fleet.faults.end(), 10, PublishFault::StoreAway);
        const auto result = runCtl(fleet, { "publish", demoPath(), "--timeout", "5" });
        CHECK(result.code == ExitCode::TimedOut);
        CHECK(contains(result.err, "not known whether the change was accepted"));
        CHECK_FALSE(contains(result.err, "nothing was changed"));
        // The flags that it prints settle the change later.
        const auto& call = fleet.publications[0];
        CHECK(contains(result.err, "--base 1 --change-id " + call.changeId));
        fleet.faults.clear();
        const auto repeated = runCtl(fleet, { "publish", demoPath(), "--base", "1", "--change-id", call.changeId });
        CHECK(repeated.code == ExitCode::Ok);
        CHECK(contains(repeated.out, "accepted as revision 2"));
        CHECK(fleet.revision == 2);
    }

    TEST_CASE("a publication that surely changed nothing isn't repeated")
    {
        auto fleet = olderFleet();
        fleet.faults = { PublishFault::StoreAway };
        const auto away = runCtl(fleet, { "publish", demoPath() });
        CHECK(away.code == ExitCode::Failed);
        CHECK(contains(away.err, "nothing was changed"));
        fleet.faults = { PublishFault::Unreachable };
        CHECK(runCtl(fleet, { "publish", demoPath() }).code == ExitCode::Unreachable);
        CHECK(fleet.publications.size() == 2);
    }

    TEST_CASE("--wait ends when every known host has the revision")
    {
        auto fleet = olderFleet();
        fleet.spreadsAfter = 3;
        const auto result = runCtl(fleet, { "publish", demoPath(), "--wait" });
        CHECK(result.code == ExitCode::Ok);
        CHECK(contains(result.err, "in force on 0 of 2 hosts; missing: imlil/entry-1, asni/entry-3\n"));
        CHECK(contains(result.err, "in force on 2 of 2 hosts\n"));
        CHECK(fleet.statusCalls == 4);
    }

    TEST_CASE("--wait times out while a member doesn't report, or no host is known")
    {
        auto fleet = olderFleet();
        fleet.members = { "entry-1", "entry-2" };
        const auto result = runCtl(fleet, { "publish", demoPath(), "--wait", "--timeout=2" });
        CHECK(result.code == ExitCode::TimedOut);
        CHECK(contains(result.err, "in force on 2 of 3 hosts; missing: imlil/entry-2"));
        CHECK(contains(result.err, "the change stays accepted"));
        auto empty = olderFleet();
        empty.inForce.clear();
        CHECK(runCtl(empty, { "publish", demoPath(), "--wait", "--timeout=2" }).code == ExitCode::TimedOut);
    }
}
