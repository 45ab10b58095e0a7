#include "Objects/ObjectSchema.h"
#include "Objects/ObjectTestSupport.h"
#include "Objects/ObjectWriter.h"

#include <algorithm>
#include <random>
#include <string>
#include <vector>

using namespace ObjectTests;
using Objects::ObjectParser;
using Objects::ObjectSet;
using Objects::ObjectSetLoader;
using Objects::ObjectWriter;

namespace {

ObjectSet example(const std::string& name)
{
    auto set = ObjectSetLoader::loadFiles({ sourceRoot / "examples" / name });
    REQUIRE_MESSAGE(set.isOk(), (set.isOk() ? "" : set.error().what()));
    return set.take();
}

std::size_t hostsOf(const ObjectSet& set, const std::string& pool)
{
    return static_cast<std::size_t>(std::count_if(set.upstreams.begin(), set.upstreams.end(), [&](const auto& it) { return it.second.pool == pool; }));
}

void checkRoundTrip(const ObjectSet& set)
{
    const auto text = ObjectWriter::write(set);
    const auto parsed = ObjectParser::parse({ { "canonical", text } });
    REQUIRE(parsed.isOk());
    CHECK(parsed.value().set == set);
    CHECK(ObjectWriter::write(parsed.value().set) == text);
}

/// Pieces of valid and invalid documents that mutations insert.
const std::vector<std::string> fragments { "{", "}", "[", "]", ",", ":", "\"", "\\u0000", "\\ud800", "//", "/*", "-1", "1e400", "18446744073709551616",
    "null", "true", "\"9223372036854775807h\"", "\"0s\"", "\xff\xfe", std::string(1, '\0'), "[[[[[[[[[[[[[[[[[[[[", "\"name\": \"x\",", "\n", "desk", "\"\"" };

std::string mutated(std::string text, std::mt19937_64& random)
{
    const auto changes = 1 + random() % 3;
    for (std::size_t n = 0; n < changes; ++n) {
        const auto at = random() % text.size();
        const auto length = std::min<std::size_t>(random() % 24, text.size() - at - 1);
        switch (random() % 4) {
        case 0:
            text[at] = static_cast<char>(random());
            break;
        case 1:
            text.erase(at, length);
            break;
        case 2:
            text.insert(at, fragments[random() % fragments.size()]);
            break;
        default:
            text.insert(random() % text.size(), text.substr(at, length));
        }
    }
    return text;
}

} // namespace

TEST_CASE("the examples are valid, have the required number of hosts, and survive a round trip")
{
    for (const auto* name : { "benjelloun", "norrvik", "demo" })
        checkRoundTrip(example(name));
    const auto benjelloun = example("benjelloun");
    CHECK(hostsOf(benjelloun, "desk") == 8);
    CHECK(hostsOf(benjelloun, "hotels") == 9);
    CHECK(hostsOf(benjelloun, "juniors") == 11);
    CHECK(hostsOf(benjelloun, "camps") == 12);
    CHECK(hostsOf(benjelloun, "backoffice") == 8);
    const auto norrvik = example("norrvik");
    CHECK(hostsOf(norrvik, "skyttel") == 9);
    CHECK(hostsOf(norrvik, "forarpool") == 9);
    CHECK(hostsOf(norrvik, "hallplats") == 11);
    CHECK(hostsOf(norrvik, "linjeval") == 12);
    CHECK(hostsOf(norrvik, "ovrigt") == 8);
}

TEST_CASE("no field with a non-default value is lost in a round trip")
{
    using namespace std::chrono_literals;
    ObjectSet set;
    set.domains["imlil"] = { "imlil", Objects::DomainLevel::DataCentre, "atlas" };
    set.pools["desk"] = { "desk", true, 2, 1 };
    set.services["booking"] = { "booking", "desk", { "families", "hotels" }, 1ULL << 23, 1ms, 5400s };
    set.priorities["urgent"] = { "urgent", 7 };
    set.teams["families"] = { "families", { "urgent", "normal" }, 12, 4 };
    set.budgets["guard"] = { "guard", "booking", "imlil", 75 };
    set.waves["wave"] = { "wave", { "desk" }, { "imlil" }, Common::WallTime(1797026400123ms), 7201s, 61s, 3600s, true };
    set.upstreams["one"] = { "one", "[::1]:8080", "desk", "rack", 9, 65 };
    checkRoundTrip(set);
    CHECK(ObjectWriter::write(set).find("\"maximumDeadline\": \"90m\"") != std::string::npos);
    CHECK(ObjectWriter::write(set).find("\"windowStart\": \"2026-12-11T22:00:00.123Z\"") != std::string::npos);
}

TEST_CASE("equal sets have equal texts, regardless of the order of documents")
{
    auto documents = ObjectSetLoader::readFiles({ sourceRoot / "examples/norrvik" });
    REQUIRE(documents.isOk());
    auto reversed = documents.value();
    std::reverse(reversed.begin(), reversed.end());
    const auto parsed = ObjectParser::parse(reversed);
    REQUIRE(parsed.isOk());
    CHECK(ObjectWriter::write(parsed.value().set) == ObjectWriter::write(example("norrvik")));
}

TEST_CASE("mutated documents load as a set or return errors with messages and valid lines")
{
    constexpr std::size_t mutations = 3000;
    std::mt19937_64 random(20261204);
    const auto text = demoText();
    std::size_t accepted = 0;
    for (std::size_t n = 0; n < mutations; ++n) {
        const auto mutant = mutated(text, random);
        const auto lines = static_cast<unsigned>(std::count(mutant.begin(), mutant.end(), '\n')) + 1;
        const auto loaded = ObjectSetLoader::loadText("mutant", mutant);
        if (loaded) {
            ++accepted;
            checkRoundTrip(loaded.value());
            continue;
        }
        REQUIRE_FALSE(loaded.error().all().empty());
        for (const auto& it : loaded.error().all()) {
            REQUIRE_FALSE(it.message.empty());
            REQUIRE_FALSE(it.accepted.empty());
            REQUIRE(it.line >= 1);
            REQUIRE(it.line <= lines);
        }
    }
    CHECK(accepted > 0);
    CHECK(accepted < mutations);
}

TEST_CASE("the committed schema and reference page match the field table")
{
    CHECK_MESSAGE(readText("docs/schema/objects.schema.json") == Objects::ObjectSchema::text(), "run write_object_schema");
    CHECK_MESSAGE(readText("docs/OBJECTS.md").find(Objects::ObjectSchema::fieldTables()) != std::string::npos, "run write_object_schema");
}
