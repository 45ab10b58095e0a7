#include "Objects/Diff.h"
#include "Objects/ObjectTestSupport.h"
#include "Objects/Validator.h"

#include <string>
#include <vector>

using namespace ObjectTests;
using Objects::ChangeType;
using Objects::Diff;
using Objects::ObjectKind;
using Objects::ObjectSet;
using Objects::Validator;

namespace {

/// Checks that the change has exactly one error, on that field and with that text in its message.
void checkRefused(const ObjectSet& base, const ObjectSet& next, const std::string& object, const std::string& field, const std::string& message)
{
    const auto errors = Validator::validateChange(base, next);
    REQUIRE(errors.size() == 1);
    CHECK(errors.front().object == object);
    CHECK(errors.front().field == field);
    CHECK(errors.front().message.find(message) != std::string::npos);
    CHECK_FALSE(errors.front().accepted.empty());
}

} // namespace

TEST_CASE("a change of fields that may change is not refused")
{
    const auto base = validSet(demoText());
    auto next = base;
    next.teams["families"].weight = 9;
    next.upstreams["desk-imlil-1"].rack = "imlil-rack-2";
    next.upstreams["desk-imlil-1"].address = "127.0.0.1:19000";
    next.upstreams.erase("juniors-asni-1");
    CHECK(Validator::validateChange(base, next).empty());
    CHECK(Validator::validateChange({}, base).empty());
}

TEST_CASE("publishing can't change the pool of a service, or the pool or data centre of an upstream")
{
    const auto base = validSet(demoText());
    auto next = base;
    next.services["lesson-booking"].pool = "juniors";
    checkRefused(base, next, "service lesson-booking", "pool", "can't change once published");

    next = base;
    next.upstreams["desk-imlil-1"].pool = "juniors";
    checkRefused(base, next, "upstream desk-imlil-1", "pool", "can only be changed by a move");

    next = base;
    next.upstreams["desk-imlil-1"].rack = "asni-rack-1";
    checkRefused(base, next, "upstream desk-imlil-1", "rack", "can't change its data centre");

    next = base;
    next.domains["asni-rack-1"].parent = "imlil";
    CHECK(Validator::validateChange(base, next).size() == 2);
}

TEST_CASE("a published address can't be reused under a new name in another pool")
{
    const auto base = validSet(demoText());
    auto next = base;
    auto renamed = next.upstreams.extract("desk-imlil-1").mapped();
    renamed.name = "juniors-imlil-3";
    renamed.pool = "juniors";
    next.upstreams[renamed.name] = renamed;
    checkRefused(base, next, "upstream juniors-imlil-3", "address", "is published as upstream desk-imlil-1");
}

TEST_CASE("objects that are still referred to can't be removed")
{
    const auto base = validSet(demoText());
    auto next = base;
    next.priorities.erase("urgent");
    next.teams.at("instructors").priorities = { "normal" };
    checkRefused(base, next, "team families", "priorities", "priority urgent is removed but still referred to");

    next = base;
    next.services.erase("lesson-booking");
    checkRefused(base, next, "budget lesson-booking-imlil", "service", "service lesson-booking is removed");

    auto withTeams = base;
    withTeams.services.at("lesson-booking").teams = { "families" };
    next = withTeams;
    next.teams.erase("families");
    checkRefused(withTeams, next, "service lesson-booking", "teams", "team families is removed");
}

TEST_CASE("errors of a refused change have the document and line of the new set")
{
    const auto base = validSet(demoText());
    const auto text = edited(demoText(), "\"pool\": \"desk\", \"expectedRunTime\"", "\n\"pool\": \"juniors\", \"expectedRunTime\"");
    const auto next = Objects::ObjectSetLoader::load({ { "next", text } });
    REQUIRE(next.isOk());
    const auto errors = Validator::validateChange(base, next.value().set, next.value().sources);
    REQUIRE(errors.size() == 1);
    CHECK(errors.front().document == "next");
    CHECK(errors.front().line == 17);
}

TEST_CASE("a diff lists added, changed and removed objects as data and as text")
{
    const auto base = validSet(demoText());
    auto next = base;
    next.teams.at("families").weight = 5;
    next.pools["camps"] = { "camps", true, 0, 0 };
    next.budgets.erase("roster-reading-imlil");
    const auto changes = Diff::between(base, next);
    REQUIRE(changes.size() == 3);
    CHECK(changes[0].type == ChangeType::Added);
    CHECK(changes[0].kind == ObjectKind::Pool);
    CHECK(changes[1].type == ChangeType::Changed);
    CHECK(changes[1].fields == std::vector<Objects::FieldChange> { { "weight", "4", "5" } });
    CHECK(changes[2].type == ChangeType::Removed);
    CHECK(changes[2].name == "roster-reading-imlil");
    const auto text = Diff::describe(changes);
    CHECK(text.find("+ pool camps\n    spare: true\n") != std::string::npos);
    CHECK(text.find("~ team families\n    weight: 4 -> 5\n") != std::string::npos);
    CHECK(text.find("- budget roster-reading-imlil\n") != std::string::npos);
    CHECK(Diff::between(next, next).empty());
}
