#include "FakeApiClient.h"
#include "Objects/ObjectWriter.h"

#include <doctest/doctest.h>

using namespace UnitTests;
using Ctl::ExitCode;

namespace {

/// A fleet whose configuration differs from the demo's set in one quota.
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
    TEST_CASE("publish shows the changes and sends the canonical document based on the revision in force")
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

    TEST_CASE("publish works before the first configuration of a fleet")
    {
        FakeFleet fleet;
        fleet.revision = 0;
        CHECK(runCtl(fleet, { "publish", demoPath() }).code == ExitCode::Ok);
        CHECK(fleet.revision == 1);
    }

    TEST_CASE("a conflict shows who published and what changed, and publishes nothing")
    {
        auto fleet = olderFleet();
        auto concurrentSet = demoSet();
        concurrentSet.teams.at("families").slotQuota = 4;
        concurrentSet.teams.at("hotels").weight = 7;
        fleet.concurrentDocument = Objects::ObjectWriter::write(concurrentSet);
        fleet.auditTrail = { { {}, "brahim", "publish change-of-brahim on revision 1: accepted", "hotels pay", 1, "entry-1" },
            { {}, "amina", "publish change-1 on revision 0: accepted", "first", 0, "entry-1" } };
        const auto result = runCtl(fleet, { "publish", demoPath() });
        CHECK(result.code == ExitCode::Conflict);
        CHECK(contains(result.err, "based on revision 1 and revision 2 is in force (by brahim, change change-of-brahim)"));
        CHECK(contains(result.err, "  revision 2 by brahim at 1970-01-01T00:00:00Z: hotels pay\n"));
        CHECK(contains(result.err, "changed since revision 1:\n~ team hotels\n    weight: 2 -> 7\n"));
        CHECK(contains(result.err, "your documents compared with the configuration in force:\n~ team families\n    slotQuota: 4 -> 8\n~ team hotels\n    weight: 7 -> 2\n"));
        CHECK_FALSE(contains(result.err, "amina"));
        CHECK(fleet.document == Objects::ObjectWriter::write(concurrentSet));
    }

    TEST_CASE("a conflict on a base revision that was never read shows the remaining changes, as JSON too")
    {
        auto fleet = olderFleet();
        fleet.revision = 5;
        const auto result = runCtl(fleet, { "publish", demoPath(), "--base", "3", "--output", "json" });
        CHECK(result.code == ExitCode::Conflict);
        CHECK(contains(result.out, "\"changedSince\" : null"));
        CHECK(contains(result.out, "\"currentRevision\" : 5"));
        CHECK_FALSE(contains(result.err, "changed since"));
    }

    TEST_CASE("a lost answer is retried with the same change id until the outcome is known")
    {
        for (const auto fault : { PublishFault::LostBeforeEffect, PublishFault::LostAfterEffect, PublishFault::Unsettled }) {
            auto fleet = olderFleet();
            fleet.faults = { fault, PublishFault::StoreUnavailable, PublishFault::Unreachable };
            const auto result = runCtl(fleet, { "publish", demoPath() });
            CHECK(result.code == ExitCode::Ok);
            CHECK(contains(result.out, "accepted as revision 2"));
            CHECK(fleet.revision == 2);
            CHECK(fleet.publications.size() == 4);
            for (const auto& request : fleet.publications)
                CHECK(request.changeId == fleet.publications[0].changeId);
        }
    }

    TEST_CASE("a retry with another change id conflicts with the accepted first attempt")
    {
        auto fleet = olderFleet();
        fleet.faults = { PublishFault::LostAfterEffect };
        Ctl::PublishRequest request { 1, "first-id", fleet.document, "" };
        CHECK_THROWS_AS(fleet.publish(request), Ctl::ApiError);
        request.changeId = "second-id";
        CHECK(fleet.publish(request).outcome == Ctl::PublishOutcome::Conflict);
    }

    TEST_CASE("an outcome that stays unknown is not reported as 'not accepted'")
    {
        auto fleet = olderFleet();
        fleet.faults = { PublishFault::LostAfterEffect };
        fleet.faults.insert(fleet.faults.end(), 10, PublishFault::StoreUnavailable);
        const auto result = runCtl(fleet, { "publish", demoPath(), "--timeout", "5" });
        CHECK(result.code == ExitCode::TimedOut);
        CHECK(contains(result.err, "not known whether the change was accepted"));
        CHECK_FALSE(contains(result.err, "nothing was changed"));
        // A later run with the flags from the message finds out the outcome.
        const auto& request = fleet.publications[0];
        CHECK(contains(result.err, "--base 1 --change-id " + request.changeId));
        fleet.faults.clear();
        const auto repeated = runCtl(fleet, { "publish", demoPath(), "--base", "1", "--change-id", request.changeId });
        CHECK(repeated.code == ExitCode::Ok);
        CHECK(contains(repeated.out, "accepted as revision 2"));
        CHECK(fleet.revision == 2);
    }

    TEST_CASE("a publication that can't have been accepted isn't retried")
    {
        auto fleet = olderFleet();
        fleet.faults = { PublishFault::StoreUnavailable };
        const auto unavailable = runCtl(fleet, { "publish", demoPath() });
        CHECK(unavailable.code == ExitCode::Failed);
        CHECK(contains(unavailable.err, "nothing was changed"));
        fleet.faults = { PublishFault::Unreachable };
        CHECK(runCtl(fleet, { "publish", demoPath() }).code == ExitCode::Unreachable);
        CHECK(fleet.publications.size() == 2);
    }

    TEST_CASE("--wait ends when every known host has the revision in force")
    {
        auto fleet = olderFleet();
        fleet.statusCallsUntilInForce = 3;
        const auto result = runCtl(fleet, { "publish", demoPath(), "--wait" });
        CHECK(result.code == ExitCode::Ok);
        CHECK(contains(result.err, "in force on 0 of 2 hosts; missing: imlil/entry-1, asni/entry-3\n"));
        CHECK(contains(result.err, "in force on 2 of 2 hosts\n"));
        CHECK(fleet.statusCalls == 4);
    }

    TEST_CASE("--wait times out when a member doesn't report or no host is known")
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
