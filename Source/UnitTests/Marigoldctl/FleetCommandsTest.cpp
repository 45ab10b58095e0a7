#include "FakeApiClient.h"
#include "Table.h"

#include <doctest/doctest.h>

using namespace UnitTests;
using Ctl::ExitCode;

TEST_SUITE("marigoldctl fleet commands")
{
    TEST_CASE("a table aligns columns by code points and replaces control characters")
    {
        Ctl::Table table({ "NAME", "STATE" });
        table.addRow({ "västerås", "serving" });
        table.addRow({ "a\x1b[2J", "idle", "left out" });
        table.addRow({});
        CHECK(table.text() == "NAME      STATE\nvästerås  serving\na?[2J     idle\n\n");
    }

    TEST_CASE("status lists hosts by data centre, then alarms")
    {
        FakeFleet fleet;
        fleet.inForce = { { "imlil", "entry-2", 0, false }, { "asni", "entry-3", 0, true }, { "imlil", "entry-1", 0, true } };
        const auto result = runCtl(fleet, { "status" });
        CHECK(result.code == ExitCode::Ok);
        CHECK(result.out.starts_with("DATA CENTRE  HOST     READY  REVISION\n"
                                     "asni         entry-3  yes    1\n"
                                     "imlil        entry-1  yes    1\n"
                                     "imlil        entry-2  no     1\n"));
        CHECK(result.out.find("ALARM: store unavailable\n") != std::string::npos);
    }

    TEST_CASE("pools lists upstreams and counts them by pool and state")
    {
        FakeFleet fleet;
        fleet.assignments = { { "juniors-1", "juniors", "serving", "", true }, { "desk-2", "desk", "draining", "juniors", false }, { "desk-1", "desk", "idle", "", false } };
        CHECK(runCtl(fleet, { "pools" }).out == "POOL     UPSTREAM   STATE     TARGET   PINNED\n"
                                                "desk     desk-1     idle      -        no\n"
                                                "desk     desk-2     draining  juniors  no\n"
                                                "juniors  juniors-1  serving   -        yes\n"
                                                "\n"
                                                "POOL     UPSTREAMS  SERVING  DRAINING  IDLE  PINNED\n"
                                                "desk     2          0        1         1     0\n"
                                                "juniors  1          1        0         0     1\n");
    }

    TEST_CASE("audit shows the oldest records first")
    {
        FakeFleet fleet;
        const Common::WallTime later { std::chrono::seconds(60) };
        fleet.auditTrail = { { later, "brahim", "second", "", 2, "entry-1" }, { {}, "amina", "first", "why", 1, "entry-2" } };
        const auto out = runCtl(fleet, { "audit", "--data-centre", "imlil" }).out;
        CHECK(out.find("1970-01-01T00:00:00Z  amina") < out.find("1970-01-01T00:01:00Z  brahim"));
    }

    TEST_CASE("move and wave call the server and show its error message unchanged")
    {
        FakeFleet fleet;
        CHECK(runCtl(fleet, { "move", "desk-1", "--to", "juniors" }).code == ExitCode::Ok);
        CHECK(runCtl(fleet, { "wave", "pause", "reboots" }).code == ExitCode::Ok);
        CHECK(runCtl(fleet, { "wave", "resume", "reboots" }).code == ExitCode::Ok);
        CHECK(fleet.calls == std::vector<std::string> { "move desk-1 juniors", "pause reboots", "resume reboots" });
        CHECK(runCtl(fleet, { "waves" }).out.find("reboots  paused  3/12  -") != std::string::npos);
        const auto refused = runCtl(fleet, { "wave", "pause", "unknown" });
        CHECK(refused.code == ExitCode::Failed);
        CHECK(refused.err == "marigoldctl: the server refused (HTTP 404): no such wave\n");
    }
}
