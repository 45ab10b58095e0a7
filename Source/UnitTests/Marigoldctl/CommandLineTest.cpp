#include "CommandTable.h"
#include "FakeApiClient.h"

#include <doctest/doctest.h>
#include <fstream>

using namespace UnitTests;
using Ctl::ExitCode;

TEST_SUITE("marigoldctl command line")
{
    TEST_CASE("a usage error exits with code 2 and names the error")
    {
        struct Row {
            std::vector<std::string> arguments;
            std::string message;
        };
        const Row rows[] = {
            { { "frobnicate" }, "no command 'frobnicate'" },
            { { "status", "--nope" }, "unknown flag --nope" },
            { { "status", "--base=3" }, "status doesn't accept --base" },
            { { "status", "extra" }, "status: too many arguments" },
            { { "publish" }, "publish: too few arguments" },
            { { "publish", "x", "--base", "abc" }, "--base: 'abc' is not accepted" },
            { { "publish", "x", "--base" }, "--base needs a value" },
            { { "publish", "x", "--timeout=0" }, "--timeout is out of range (accepted: 1 to" },
            { { "status", "--output=xml" }, "accepted: table, json" },
            { { "status", "--token=a", "--token-file=b" }, "mutually exclusive" },
            { { "status", "--token-file=/nonexistent" }, "no token can be read" },
            { { "move", "desk-1" }, "move requires --to POOL" },
            { { "wave", "start", "reboots" }, "accepted: pause, resume" },
            { { "completion", "fish" }, "accepted: bash" },
            { { "help", "frobnicate" }, "no command" },
        };
        for (const auto& row : rows) {
            CAPTURE(row.message);
            FakeFleet fleet;
            const auto result = runCtl(fleet, row.arguments);
            CHECK(result.code == ExitCode::UsageError);
            CHECK(result.err.find(row.message) != std::string::npos);
            CHECK(result.out.empty());
            CHECK(fleet.publications.empty());
        }
    }

    TEST_CASE("flags of one command line don't carry over to the next")
    {
        FakeFleet fleet;
        CHECK(runCtl(fleet, { "status", "--output=json" }).out.starts_with("{"));
        CHECK(runCtl(fleet, { "status" }).out.starts_with("DATA CENTRE"));
    }

    TEST_CASE("help covers every command, its flags and the exit codes")
    {
        FakeFleet fleet;
        const auto general = runCtl(fleet, { "--help" });
        CHECK(general.code == ExitCode::Ok);
        for (const auto& command : Ctl::commandTable()) {
            CAPTURE(command.name);
            CHECK(general.out.find("  " + std::string(command.name) + " ") != std::string::npos);
            const auto help = runCtl(fleet, { "help", std::string(command.name) });
            CHECK(help.code == ExitCode::Ok);
            CHECK(help.out == runCtl(fleet, { std::string(command.name), "--help" }).out);
        }
        CHECK(general.out.find("6  timed out waiting") != std::string::npos);
        CHECK(runCtl(fleet, { "help", "publish" }).out.find("--change-id=VALUE") != std::string::npos);
        CHECK(runCtl(fleet, { "completion", "bash" }).out.find("publish) flags=\"--server") != std::string::npos);
    }

    TEST_CASE("validate needs no server and exits with code 3 for invalid objects")
    {
        FakeFleet fleet;
        CHECK(runCtl(fleet, { "validate", demoPath() }).code == ExitCode::Ok);
        const std::string path = MARIGOLD_TEST_DIRECTORY "/invalid.jsonc";
        std::ofstream(path) << "{\n  \"services\": [\n    { \"name\": \"booking\", \"pool\": \"nowhere\" }\n  ]\n}\n";
        const auto text = runCtl(fleet, { "validate", path });
        CHECK(text.code == ExitCode::InvalidObjects);
        CHECK(text.err.find("invalid.jsonc:3: service booking, pool:") != std::string::npos);
        const auto json = runCtl(fleet, { "validate", path, "--output=json" });
        CHECK(json.code == ExitCode::InvalidObjects);
        CHECK(json.out.find("\"valid\" : false") != std::string::npos);
        CHECK(runCtl(fleet, { "publish", path }).code == ExitCode::InvalidObjects);
        CHECK(fleet.publications.empty());
    }
}
