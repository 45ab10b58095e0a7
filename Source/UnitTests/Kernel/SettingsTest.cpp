#include "Kernel/Settings.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <string>
#include <tuple>
#include <vector>

using namespace std::chrono_literals;
using Kernel::Settings;
using Kernel::SettingsIssue;

namespace {

const std::string goodText = R"({
  // One of three entry hosts.
  "host": "oukaimeden-1",
  "dataCentre": "oukaimeden",
  "region": "atlas",
  "callers": { "listen": "127.0.0.1:8080" },
  "peers": {
    "listen": "127.0.0.1:8081",
    "seeds": [ { "host": "imlil-1", "address": "127.0.0.1:8181", "dataCentre": "imlil" } ]
  },
  "operators": {
    "listen": "127.0.0.1:8082", /* administration */
    "accounts": [ { "name": "amina", "token": "amina-secret" } ]
  },
  "platform": { "kind": "embedded" },
  "limits": { "heartbeatMilliseconds": 250 },
  "weights": { "bufferCost": 4.5 },
  "logging": { "json": false }
})";

std::string replaced(std::string text, const std::string& from, const std::string& to)
{
    const auto start = text.find(from);
    REQUIRE(start != std::string::npos);
    return text.replace(start, from.size(), to);
}

/// Line and field of each issue, in order.
std::vector<std::pair<unsigned, std::string>> places(const std::string& text)
{
    const auto result = Settings::parse(text, "host.json");
    REQUIRE_FALSE(result);
    std::vector<std::pair<unsigned, std::string>> found;
    for (const auto& issue : result.error().issues()) {
        CHECK(issue.file == "host.json");
        CHECK_FALSE(issue.accepted.empty());
        found.emplace_back(issue.line, issue.field);
    }
    return found;
}

using Places = std::vector<std::pair<unsigned, std::string>>;

} // namespace

TEST_CASE("a good file fills every section and leaves the defaults")
{
    const auto result = Settings::parse(goodText, "host.json");
    REQUIRE(result);
    const auto& settings = result.value();
    CHECK(settings.host == "oukaimeden-1");
    REQUIRE(settings.peers.seeds.size() == 1);
    CHECK(settings.peers.seeds[0].dataCentre == "imlil");
    CHECK(settings.operators.accounts.at(0).token == "amina-secret");
    CHECK(settings.limits.heartbeat == 250ms);
    CHECK(settings.limits.claimRetention == 10min);
    CHECK(settings.weights.bufferCost == 4.5);
    CHECK_FALSE(settings.logging.json);
}

TEST_CASE("all faults are told at once, each with its line and field")
{
    auto text = replaced(goodText, "\"dataCentre\": \"oukaimeden\",\n", "\n");
    text = replaced(text, "127.0.0.1:8080", "localhost:8080");
    text = replaced(text, "127.0.0.1:8181", "127.0.0.1:0");
    text = replaced(text, "amina-secret", "short");
    text = replaced(text, "250", "-1");
    text = replaced(text, "bufferCost", "buferCost");
    text = replaced(text, "false", "\"no\"");
    CHECK(places(text) == Places {
              { 1, "dataCentre" },
              { 6, "callers.listen" },
              { 9, "peers.seeds[0].address" },
              { 13, "operators.accounts[0].token" },
              { 16, "limits.heartbeatMilliseconds" },
              { 17, "weights.buferCost" },
              { 18, "logging.json" },
          });
}

TEST_CASE("an error names file, line, field and what would be accepted")
{
    const auto result = Settings::parse(replaced(goodText, "250", "\"fast\""), "host.json");
    REQUIRE_FALSE(result);
    CHECK(std::string(result.error().what())
        == "host.json:16: limits.heartbeatMilliseconds: not accepted; accepted: a whole number from 1 to 86400000");
}

TEST_CASE("faults of syntax carry their line")
{
    CHECK(places("{\n  \"host\": \"a\",\n  \"host\": \"b\"\n}").at(0).first == 3);
    CHECK(places("{\n  \"host\" \"a\"\n}").at(0).first == 2);
    CHECK(places("[]") == Places { { 1, "" } });
    CHECK(places("{\n} extra").at(0).first == 2);
    CHECK(places("") == Places { { 1, "" } });
    CHECK(places(std::string(100000, '[')).size() == 1);
}

TEST_CASE("whole numbers take neither fractions nor values past their type")
{
    for (const std::string bad : { "0.5", "250.5", "1e30", "99999999999999999999", "true", "null", "{}" })
        CHECK(places(replaced(goodText, "250", bad)) == Places { { 16, "limits.heartbeatMilliseconds" } });
}

TEST_CASE("settings that contradict one another are refused")
{
    CHECK(places(replaced(goodText, "\"embedded\"", "\"etcd\""))
        == Places { { 15, "platform.keyValueAddress" }, { 15, "platform.hostListAddress" } });
    CHECK(places(replaced(goodText, "embedded", "zookeeper")) == Places { { 15, "platform.kind" } });
    CHECK(places(replaced(goodText, "250", "1500")) == Places { { 16, "limits.suspectAfterMilliseconds" } });
    CHECK(places(replaced(goodText, "250", "250, \"viewLeaseMilliseconds\": 2000")) == Places { { 16, "limits.viewLeaseMilliseconds" } });
    CHECK(places(replaced(goodText, "\"imlil-1\"", "\"oukaimeden-1\"")) == Places { { 9, "peers.seeds" } });
}

TEST_CASE("a file that can't be read is an error, not an empty set")
{
    const auto result = Settings::create("absent/host.json");
    REQUIRE_FALSE(result);
    CHECK(result.error().issues().at(0).file == "absent/host.json");
    CHECK_FALSE(Settings::create("."));
}

TEST_CASE("help names every setting with its default and range")
{
    const auto help = Settings::help();
    for (const std::string wanted : { "limits.claimRetentionMilliseconds", "peers.seeds[].address", "Default: 600000", "weights.rollOutTime", "operators.accounts[].token" })
        CHECK_MESSAGE(help.find(wanted) != std::string::npos, wanted);
}
