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

/// Line and field of each issue, in order of report.
std::vector<std::pair<unsigned, std::string>> issueLocations(const std::string& text)
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

using IssueLocations = std::vector<std::pair<unsigned, std::string>>;

} // namespace

TEST_CASE("a valid file fills every section and keeps the defaults of omitted settings")
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

TEST_CASE("all errors are reported at once, each with its line and field")
{
    auto text = replaced(goodText, "\"dataCentre\": \"oukaimeden\",\n", "\n");
    text = replaced(text, "127.0.0.1:8080", "localhost:8080");
    text = replaced(text, "127.0.0.1:8181", "127.0.0.1:0");
    text = replaced(text, "amina-secret", "short");
    text = replaced(text, "250", "-1");
    text = replaced(text, "bufferCost", "buferCost");
    text = replaced(text, "false", "\"no\"");
    CHECK(issueLocations(text) == IssueLocations {
              { 1, "dataCentre" },
              { 6, "callers.listen" },
              { 9, "peers.seeds[0].address" },
              { 13, "operators.accounts[0].token" },
              { 16, "limits.heartbeatMilliseconds" },
              { 17, "weights.buferCost" },
              { 18, "logging.json" },
          });
}

TEST_CASE("an error names the file, line, field and accepted values")
{
    const auto result = Settings::parse(replaced(goodText, "250", "\"fast\""), "host.json");
    REQUIRE_FALSE(result);
    CHECK(std::string(result.error().what())
        == "host.json:16: limits.heartbeatMilliseconds: not accepted; accepted: a whole number from 1 to 86400000");
}

TEST_CASE("syntax errors are reported with their line")
{
    CHECK(issueLocations("{\n  \"host\": \"a\",\n  \"host\": \"b\"\n}").at(0).first == 3);
    CHECK(issueLocations("{\n  \"host\" \"a\"\n}").at(0).first == 2);
    CHECK(issueLocations("[]") == IssueLocations { { 1, "" } });
    CHECK(issueLocations("{\n} extra").at(0).first == 2);
    CHECK(issueLocations("") == IssueLocations { { 1, "" } });
    CHECK(issueLocations(std::string(100000, '[')).size() == 1);
}

TEST_CASE("whole numbers accept neither fractions nor values beyond their type")
{
    for (const std::string bad : { "0.5", "250.5", "1e30", "99999999999999999999", "true", "null", "{}" })
        CHECK(issueLocations(replaced(goodText, "250", bad)) == IssueLocations { { 16, "limits.heartbeatMilliseconds" } });
}

TEST_CASE("contradictory settings are refused")
{
    CHECK(issueLocations(replaced(goodText, "\"embedded\"", "\"etcd\""))
        == IssueLocations { { 15, "platform.keyValueAddress" }, { 15, "platform.hostListAddress" } });
    CHECK(issueLocations(replaced(goodText, "embedded", "zookeeper")) == IssueLocations { { 15, "platform.kind" } });
    CHECK(issueLocations(replaced(goodText, "250", "1500")) == IssueLocations { { 16, "limits.suspectAfterMilliseconds" } });
    CHECK(issueLocations(replaced(goodText, "250", "250, \"viewLeaseMilliseconds\": 2000")) == IssueLocations { { 16, "limits.viewLeaseMilliseconds" } });
    CHECK(issueLocations(replaced(goodText, "\"imlil-1\"", "\"oukaimeden-1\"")) == IssueLocations { { 9, "peers.seeds" } });
}

TEST_CASE("an unreadable file is an error and doesn't yield default settings")
{
    const auto result = Settings::create("absent/host.json");
    REQUIRE_FALSE(result);
    CHECK(result.error().issues().at(0).file == "absent/host.json");
    CHECK_FALSE(Settings::create("."));
}

TEST_CASE("the help text lists every setting with its default")
{
    const auto help = Settings::help();
    for (const std::string wanted : { "limits.claimRetentionMilliseconds", "peers.seeds[].address", "Default: 600000", "weights.rollOutTime", "operators.accounts[].token" })
        CHECK_MESSAGE(help.find(wanted) != std::string::npos, wanted);
}
