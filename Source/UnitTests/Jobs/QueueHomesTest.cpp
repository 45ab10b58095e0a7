/// Tests of the records of which pools may hold jobs of a queue.

#include "Jobs/Runtime/QueueHomes.h"
#include "FakeStore.h"

#include <doctest/doctest.h>
#include <memory>
#include <optional>

using namespace Jobs;
using namespace std::chrono_literals;

namespace {

constexpr auto longUnused = 31s; ///< More than the time for which a home counts as used.

/// The store, and owners of pools that use it.
struct HomesFixture {
    /// The homes as a pool's owner sees them; a later owner of the pool deposes it.
    struct Owner {
        std::unique_ptr<QueueHomes> homes;
        bool isInUse = false;
    };

    std::unique_ptr<Owner> open(const std::string& pool)
    {
        store.put("owner/" + pool, "host");
        auto owner = std::make_unique<Owner>();
        owner->homes = std::make_unique<QueueHomes>(loop, port, pool, Ports::Compare { "owner/" + pool, store.state.revision() }, [&inUse = owner->isInUse](const std::string&) { return inUse; });
        return owner;
    }

    static QueueRule queue(const std::string& pool, unsigned number = 1)
    {
        QueueRule rule;
        rule.name = "queue-" + std::to_string(number);
        rule.host = "desk.example";
        rule.prefix = "/" + std::to_string(number) + "/";
        rule.pool = pool;
        return rule;
    }

    /// Publishes a version in which the pool has so many queues.
    void configure(Owner& owner, const std::string& pool, unsigned queues)
    {
        JobConfiguration configuration;
        configuration.version = ++version;
        for (unsigned n = 1; n <= queues; ++n)
            configuration.queues.push_back(queue(pool, n));
        owner.homes->configure(configuration);
        loop.runFor(1s);
    }

    std::size_t recorded() { return store.state.read("/marigold/queues/", true, loop.now()).values.size(); }

    VirtualLoop loop;
    FakeStore store { loop };
    FakeStorePort port { store, "host" };
    std::uint64_t version = 0;
};

} // namespace

TEST_CASE("of two pools that accept jobs of a queue at the same time, one knows of the other")
{
    HomesFixture fixture;
    const auto desk = fixture.open("desk");
    const auto hotels = fixture.open("hotels");
    std::size_t deskSees = 0;
    std::size_t hotelsSee = 0;
    desk->homes->find(HomesFixture::queue("desk"), 1, [&](const auto* homes) { deskSees = homes ? homes->size() : 0; });
    fixture.loop.runFor(3ms);
    hotels->homes->find(HomesFixture::queue("hotels"), 2, [&](const auto* homes) { hotelsSee = homes ? homes->size() : 0; });
    fixture.loop.runFor(1s);
    CHECK(deskSees >= 1);
    CHECK(hotelsSee == 2);
    // Under a later version the list is read again.
    desk->homes->find(HomesFixture::queue("desk"), 2, [&](const auto* homes) { deskSees = homes ? homes->size() : 0; });
    fixture.loop.runFor(1s);
    CHECK(deskSees == 2);
}

TEST_CASE("hundreds of queues are recorded at once, in calls that the store accepts")
{
    HomesFixture fixture;
    const auto desk = fixture.open("desk");
    fixture.configure(*desk, "desk", 200);
    CHECK(fixture.recorded() == 200);
}

TEST_CASE("a home is deleted once the pool has lost the queue and holds none of its jobs")
{
    HomesFixture fixture;
    const auto desk = fixture.open("desk");
    desk->isInUse = true;
    fixture.configure(*desk, "desk", 40);
    fixture.loop.runFor(longUnused);
    fixture.configure(*desk, "desk", 1);
    fixture.configure(*desk, "desk", 1);
    CHECK(fixture.recorded() == 40);
    desk->isInUse = false;
    for (unsigned n = 0; n < 4; ++n)
        fixture.configure(*desk, "desk", 1);
    CHECK(fixture.recorded() == 1);
}

TEST_CASE("a home that was just looked up isn't deleted: a job may be about to be accepted there")
{
    HomesFixture fixture;
    const auto desk = fixture.open("desk");
    fixture.configure(*desk, "desk", 1);
    fixture.loop.runFor(longUnused);
    desk->homes->find(HomesFixture::queue("desk"), 1, [](const auto*) {});
    fixture.configure(*desk, "desk", 0);
    fixture.configure(*desk, "desk", 0);
    CHECK(fixture.recorded() == 1);
    fixture.loop.runFor(longUnused);
    fixture.configure(*desk, "desk", 0);
    fixture.configure(*desk, "desk", 0);
    CHECK(fixture.recorded() == 0);
}

TEST_CASE("a deletion that takes effect late doesn't delete a home that is needed again")
{
    HomesFixture fixture;
    const auto desk = fixture.open("desk");
    fixture.configure(*desk, "desk", 1);
    fixture.loop.runFor(longUnused);
    fixture.configure(*desk, "desk", 0);
    fixture.store.lateEffect = 3s;
    fixture.store.answersToLose = 1;
    fixture.configure(*desk, "desk", 0);
    REQUIRE(fixture.store.answersToLose == 0);
    fixture.configure(*desk, "desk", 1);
    fixture.loop.runFor(5s);
    CHECK(fixture.recorded() == 1);
}

TEST_CASE("a former owner of a pool neither records nor deletes homes")
{
    HomesFixture fixture;
    const auto former = fixture.open("desk");
    fixture.configure(*former, "desk", 1);
    const auto owner = fixture.open("desk");
    fixture.configure(*owner, "desk", 2);
    fixture.loop.runFor(longUnused);
    fixture.configure(*former, "desk", 0);
    fixture.configure(*former, "desk", 0);
    CHECK(fixture.recorded() == 2);
    std::optional<bool> isFound;
    former->homes->find(HomesFixture::queue("desk", 3), 1, [&](const auto* homes) { isFound = homes != nullptr; });
    fixture.loop.runFor(2s);
    CHECK(isFound == false);
    CHECK(fixture.recorded() == 2);
}
