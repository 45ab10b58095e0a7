#include "Objects/ObjectTestSupport.h"

#include <algorithm>
#include <string>
#include <vector>

using namespace ObjectTests;
using Objects::Document;
using Objects::ObjectError;
using Objects::ObjectSetLoader;

namespace {

/// An edit of the demo document, or a second document in addition to it, and the error that it must cause.
struct ErrorCase {
    std::string from; ///< Empty for no edit.
    std::string to;
    std::string extra; ///< Second document; empty for none.
    std::string lineOf; ///< The error is on the line of this text, in the second document if there is one.
    std::string object;
    std::string field;
    std::string message; ///< Part of the expected message.
    std::size_t errors = 1; ///< Number of all errors of the set, including those that follow from this one.
};

const std::vector<ErrorCase> parseCases {
    { "\"rank\": 1", "\"rank\": 1, \"colour\": 2", "", "colour", "priority urgent", "colour", "unknown field" },
    { "\"rank\": 1", "\"rank\": 1, \"rank\": 1", "", "\"rank\": 1", "", "", "Duplicate key", 1 },
    { "\"rank\": 1 },", "\"rank\": 1 },,", "", "\"rank\": 1 },,", "", "", "Syntax error", 1 },
    { "\"slotQuota\": 8, \"weight\": 4", "\"slotQuota\": \"8\"", "", "\"slotQuota\": \"8\"", "team families", "slotQuota", "invalid value" },
    { "\"20ms\"", "\"20\"", "", "\"20\"", "service lesson-booking", "expectedRunTime", "invalid value" },
    { "\"windowLength\": \"1h\"", "\"windowLength\": \"1500ms\"", "", "1500ms", "wave imlil-reboots", "windowLength", "invalid value" },
    { "2026-12-10T22", "2026-02-30T22", "", "02-30", "wave imlil-reboots", "windowStart", "invalid value" },
    { "\"level\": \"region\"", "\"level\": \"planet\"", "", "planet", "domain atlas", "level", "invalid value", 4 },
    { ", \"rank\": 3", "", "", "\"batch\" }", "priority batch", "rank", "required field is missing" },
    { "", "", "{ \"pool\": [] }", "pool", "", "pool", "unknown section" },
    { "", "", "{\n \"pools\": {} }", "{} }", "", "pools", "not a list" },
    { "", "", "{\n\n \"pools\": [3] }", "[3]", "pool", "", "not an object" },
    { "", "", "[]", "[]", "", "", "the document is not an object" },
    { "", "", "{ \"pools\": [\n{ \"name\": \"desk\" }] }", "{ \"name\"", "pool desk", "name", "the name is already used at demo:12" },
};

const std::vector<ErrorCase> referenceCases {
    { "\"lesson-booking\", \"pool\": \"desk\"", "\"lesson-booking\", \"pool\": \"dosk\"", "", "dosk", "service lesson-booking", "pool", "no pool is named \"dosk\"" },
    { "[\"normal\", \"batch\"]", "[\"normal\", \"cheap\"]", "", "cheap", "team hotels", "priorities", "no priority is named" },
    { "[\"normal\", \"batch\"]", "[\"normal\", \"normal\"]", "", "\"normal\", \"normal\"", "team hotels", "priorities", "is listed twice" },
    { "[\"normal\", \"batch\"]", "[]", "", "[]", "team hotels", "priorities", "must not be empty" },
    { "", "", "{ \"priorities\": [\n{ \"name\": \"Night-\", \"rank\": 9 }] }", "Night", "priority Night-", "name", "ill-formed name" },
    { "\"region\" }", "\"dataCentre\", \"parent\": \"imlil\" }", "", "\"name\": \"atlas\"", "domain atlas", "parent", "cycle of domains: atlas -> imlil -> atlas", 2 },
    { "\"region\" }", "\"region\", \"parent\": \"imlil\" }", "", "\"name\": \"atlas\"", "domain atlas", "parent", "cycle of domains", 1 },
    { "\"pool\": \"desk\", \"rack\": \"asni-rack-1\"", "\"pool\": \"desk\", \"rack\": \"asni\"", "", "\"rack\": \"asni\"", "upstream desk-asni-1", "rack", "\"asni\" is a data centre" },
    { "\"dataCentre\": \"imlil\"", "\"dataCentre\": \"imlil-rack-1\"", "", "\"dataCentre\": \"imlil-rack-1\"", "budget lesson-booking-imlil", "dataCentre", "is a rack" },
    { "", "", "{ \"domains\": [{ \"name\": \"alps\", \"level\": \"rack\" }] }", "alps", "domain alps", "parent", "needs a parent" },
    { "", "", "{ \"domains\": [{ \"name\": \"alps\", \"level\": \"region\", \"parent\": \"atlas\" }] }", "alps", "domain alps", "parent", "a region has no parent" },
};

const std::vector<ErrorCase> objectCases {
    { "127.0.0.1:18101", "127.0.0.1:18100", "", "desk-imlil-2", "upstream desk-imlil-2", "address", "duplicate address" },
    { "127.0.0.1:18103", "127.0.0.1:18100", "", "juniors-imlil-1", "upstream juniors-imlil-1", "address", "the host is in two pools" },
    { "127.0.0.1:18103", "localhost:18103", "", "localhost", "upstream juniors-imlil-1", "address", "not an address" },
    { "127.0.0.1:18103", "127.0.0.1:70000", "", "70000", "upstream juniors-imlil-1", "address", "not an address" },
    { "\"rack\": \"asni-rack-1\" }", "\"rack\": \"asni-rack-1\", \"slots\": 0 }", "", "\"slots\": 0", "upstream desk-asni-1", "slots", "out of range", 4 },
    { "\"rack\": \"asni-rack-1\" }", "\"rack\": \"asni-rack-1\", \"connections\": 70000 }", "", "70000", "upstream desk-asni-1", "connections", "out of range" },
    { "\"rack\": \"asni-rack-1\" }", "\"rack\": \"asni-rack-1\", \"connections\": 7 }", "", "\"connections\": 7", "upstream desk-asni-1", "connections", "fewer connections than slots" },
    { "\"rank\": 3", "\"rank\": 1", "", "\"urgent\", \"rank\"", "priority urgent", "rank", "has the same rank" },
    { "\"maximumDeadline\": \"10s\"", "\"maximumDeadline\": \"9ms\"", "", "9ms", "service roster-reading", "maximumDeadline", "shorter than the expected run time" },
    { "", "", "{ \"budgets\": [{ \"name\": \"second\", \"service\": \"lesson-booking\", \"dataCentre\": \"imlil\", \"minimumAvailablePercent\": 10 }] }", "second", "budget second", "service", "already covers this service" },
};

const std::vector<ErrorCase> capacityCases {
    { "\"minimumHosts\": 1", "\"minimumHosts\": 2", "", "\"minimumHosts\": 2", "pool desk", "minimumHosts", "pool desk has 1 host in asni" },
    { "\"pinnedHosts\": 1", "\"pinnedHosts\": 2", "", "\"pinnedHosts\": 2", "pool desk", "pinnedHosts", "pool desk has 1 host in asni" },
    { "", "", "{ \"pools\": [{ \"name\": \"camps\" }], \"services\": [\n{ \"name\": \"camp\", \"pool\": \"camps\" }] }", "\"camp\"", "service camp", "pool", "has no upstream" },
    { "\"slotQuota\": 8", "\"slotQuota\": 9", "", "\"slotQuota\": 9", "team families", "slotQuota", "has 8 slots in asni" },
    { "\"minimumAvailablePercent\": 50", "\"minimumAvailablePercent\": 51", "", "51", "budget lesson-booking-imlil", "minimumAvailablePercent", "leaves wave imlil-reboots no host to drain" },
    { "\"minimumAvailablePercent\": 50", "\"minimumAvailablePercent\": 101", "", "101", "budget lesson-booking-imlil", "minimumAvailablePercent", "out of range", 2 },
    { "", "", "{ \"domains\": [{ \"name\": \"tacheddirt\", \"level\": \"dataCentre\", \"parent\": \"atlas\" }],\n \"budgets\": [\n{ \"name\": \"far\", \"service\": \"lesson-booking\", \"dataCentre\": \"tacheddirt\", \"minimumAvailablePercent\": 1 }] }", "\"far\"", "budget far", "minimumAvailablePercent", "pool desk has 0 hosts in tacheddirt" },
    { "\"windowLength\": \"1h\"", "\"windowLength\": \"79s\"", "", "79s", "wave imlil-reboots", "windowLength", "can't finish in its window: pool desk has 2 hosts in imlil, of which 1" },
    { "\"dataCentres\": [\"imlil\"]", "\"dataCentres\": [\"tacheddirt\"]", "", "tacheddirt", "wave imlil-reboots", "pools", "covers no host", 2 },
};

unsigned lineOf(const std::string& text, const std::string& part)
{
    const auto end = text.find(part);
    REQUIRE_MESSAGE(end != std::string::npos, part);
    return 1 + static_cast<unsigned>(std::count(text.begin(), text.begin() + static_cast<std::ptrdiff_t>(end), '\n'));
}

std::vector<ObjectError> errorsOf(const std::vector<Document>& documents)
{
    const auto loaded = ObjectSetLoader::load(documents);
    REQUIRE_FALSE(loaded.isOk());
    return loaded.error().all();
}

void checkCase(const ErrorCase& errorCase)
{
    const auto text = errorCase.from.empty() ? demoText() : edited(demoText(), errorCase.from, errorCase.to);
    std::vector<Document> documents { { "demo", text } };
    if (!errorCase.extra.empty())
        documents.push_back({ "extra", errorCase.extra });
    const auto errors = errorsOf(documents);
    std::string reported;
    for (const auto& it : errors)
        reported += describe(it) + "\n";
    INFO(errorCase.to << errorCase.extra << "\nseen:\n"
                      << reported);
    CHECK(errors.size() == errorCase.errors);
    const auto found = std::find_if(errors.begin(), errors.end(), [&](const auto& it) {
        return it.object == errorCase.object && it.field == errorCase.field && it.message.find(errorCase.message) != std::string::npos;
    });
    REQUIRE(found != errors.end());
    CHECK(found->document == documents.back().name);
    CHECK(found->line == lineOf(documents.back().text, errorCase.lineOf));
    CHECK_FALSE(found->accepted.empty());
}

void checkCases(const std::vector<ErrorCase>& cases)
{
    for (const auto& errorCase : cases)
        checkCase(errorCase);
}

} // namespace

TEST_CASE("each parse error is reported on its line")
{
    checkCases(parseCases);
}

TEST_CASE("each error in names and references is reported on its line")
{
    checkCases(referenceCases);
}

TEST_CASE("each error within one kind is reported on its line")
{
    checkCases(objectCases);
}

TEST_CASE("each capacity error is reported on its line")
{
    checkCases(capacityCases);
}

TEST_CASE("parse and validation errors are reported together, in the order of their lines")
{
    auto text = edited(demoText(), "\"minimumHosts\": 1", "\"minimumHosts\": 2");
    text = edited(text, "\"20ms\"", "\"20\"");
    text = edited(text, "[\"normal\", \"batch\"]", "[\"normal\", \"cheap\"]");
    text = edited(text, "\"rank\": 3", "\"rank\": 2");
    text = edited(text, "\"slotQuota\": 8", "\"slotQuota\": 9");
    text = edited(text, "\"roster-reading\", \"dataCentre\": \"imlil\", \"minimumAvailablePercent\": 50", "\"roster-reading\", \"dataCentre\": \"imlil\", \"minimumAvailablePercent\": 51");
    text = edited(text, "\"windowLength\": \"1h\"", "\"windowLength\": \"79s\"");
    text = edited(text, "127.0.0.1:18105", "127.0.0.1:18100");
    const auto errors = errorsOf({ { "demo", text } });
    std::vector<std::string> reported;
    reported.reserve(errors.size());
    for (const auto& it : errors)
        reported.push_back(it.object + "/" + it.field);
    const std::vector<std::string> expected { "pool desk/minimumHosts", "service lesson-booking/expectedRunTime",
        "priority normal/rank", "team families/slotQuota", "team hotels/priorities", "budget roster-reading-imlil/minimumAvailablePercent",
        "wave imlil-reboots/windowLength", "upstream juniors-asni-1/address" };
    CHECK(reported == expected);
    CHECK(std::is_sorted(errors.begin(), errors.end(), [](const auto& a, const auto& b) { return a.line < b.line; }));
}

TEST_CASE("an unreadable file is reported as an error, not thrown as an exception")
{
    const auto loaded = ObjectSetLoader::loadFiles({ sourceRoot / "examples/none.jsonc" });
    REQUIRE_FALSE(loaded.isOk());
    CHECK(loaded.error().all().front().message == "the file can't be read");
}
