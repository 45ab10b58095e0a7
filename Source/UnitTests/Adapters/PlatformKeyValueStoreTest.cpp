/// Tests of KeyValueStore in virtual time.

#include "Adapters/Platform/KeyValueStore.h"

#include <doctest/doctest.h>

using Adapters::KeyValueStore;
using Adapters::TransactionVerdict;
using Common::Instant;
using Ports::PlatformStatus;
using std::chrono::seconds;

namespace {

constexpr Instant start { seconds(1000) };

Ports::Transaction putIf(const std::string& key, std::int64_t modRevision, const std::string& value, Ports::LeaseId lease = 0)
{
    return { { { key, modRevision } }, { { key, value, lease } }, {} };
}

/// Formats events as "+key@revision" for a put and "-key@revision" for a deletion.
std::string textOf(const std::vector<Ports::WatchEvent>& events)
{
    std::string text;
    for (const auto& it : events)
        text += (it.deleted ? "-" : "+") + it.pair.key + "@" + std::to_string(it.pair.modRevision) + " ";
    return text;
}

} // namespace

TEST_CASE("a transaction applies all of its writes or none")
{
    KeyValueStore store;
    REQUIRE(store.transact(putIf("a", 0, "1"), start).status == PlatformStatus::Ok);
    const auto first = store.read("a", false, start).values.at(0);

    Ports::Transaction two = putIf("a", first.modRevision, "2");
    two.compares.push_back({ "b", 7 });
    two.puts.push_back({ "c", "3", 0 });
    CHECK(store.transact(two, start).status == PlatformStatus::ComparesFailed);
    CHECK(store.read("a", false, start).values.at(0).value == "1");
    CHECK(store.read("c", false, start).values.empty());

    two.compares.back().modRevision = 0;
    const auto reply = store.transact(two, start);
    CHECK(reply.status == PlatformStatus::Ok);
    for (const auto& it : store.read("", true, start).values)
        CHECK(it.modRevision == reply.revision);
}

TEST_CASE("only the first of two creations succeeds, and a compare with a stale revision fails")
{
    KeyValueStore store;
    CHECK(store.transact(putIf("a", 0, "first"), start).status == PlatformStatus::Ok);
    CHECK(store.transact(putIf("a", 0, "second"), start).status == PlatformStatus::ComparesFailed);
    const std::int64_t revision = store.revision();
    CHECK(store.transact(putIf("a", revision, "third"), start).status == PlatformStatus::Ok);
    CHECK(store.transact(putIf("a", revision, "late"), start).status == PlatformStatus::ComparesFailed);
    CHECK(store.read("a", false, start).values.at(0).value == "third");
}

TEST_CASE("a compare with the revision before a deletion fails after the key was created again")
{
    KeyValueStore store;
    store.transact(putIf("a", 0, "1"), start);
    const std::int64_t old = store.revision();
    store.transact({ {}, {}, { "a" } }, start);
    store.transact(putIf("a", 0, "1"), start);
    CHECK(store.transact(putIf("a", old, "late"), start).status == PlatformStatus::ComparesFailed);
}

TEST_CASE("a prefix read returns only keys with the prefix, in order")
{
    KeyValueStore store;
    for (const char* it : { "p/b", "p/a", "p", "q" })
        store.transact(putIf(it, 0, it), start);
    const auto values = store.read("p/", true, start).values;
    REQUIRE(values.size() == 2);
    CHECK(values[0].key == "p/a");
    CHECK(values[1].key == "p/b");
}

TEST_CASE("a lease expires with its keys, but not while it is renewed")
{
    KeyValueStore store;
    const auto lease = store.grantLease(seconds(10), start).lease;
    store.transact(putIf("held", 0, "x", lease), start);
    CHECK(store.renewLease(lease, start + seconds(9)).timeToLive == seconds(10));
    CHECK(store.nextExpiry() == start + seconds(19));
    CHECK(store.read("held", false, start + seconds(18)).values.size() == 1);
    CHECK(store.read("held", false, start + seconds(19)).values.empty());
    CHECK(store.renewLease(lease, start + seconds(19)).timeToLive == seconds(0));
}

TEST_CASE("a put with an expired lease fails")
{
    KeyValueStore store;
    const auto lease = store.grantLease(seconds(10), start).lease;
    const auto later = start + seconds(10);
    CHECK(store.check(putIf("held", 0, "x", lease), later) == TransactionVerdict::LeaseNotFound);
    CHECK(store.transact(putIf("held", 0, "x", lease), later).status == PlatformStatus::ComparesFailed);
    CHECK(store.read("held", false, later).values.empty());
}

TEST_CASE("a key that was moved to another lease isn't deleted with its first lease")
{
    KeyValueStore store;
    const auto shorter = store.grantLease(seconds(5), start).lease;
    const auto longer = store.grantLease(seconds(50), start).lease;
    store.transact(putIf("held", 0, "x", shorter), start);
    store.transact(putIf("held", store.revision(), "y", longer), start);
    CHECK(store.read("held", false, start + seconds(6)).values.size() == 1);
    store.revokeLease(longer, start + seconds(6));
    CHECK(store.read("held", false, start + seconds(6)).values.empty());
}

TEST_CASE("a watch reports past and new changes in order, without gaps or duplicates")
{
    KeyValueStore store;
    store.transact(putIf("p/a", 0, "1"), start); // Revision 2.
    store.transact(putIf("p/b", 0, "1"), start); // Revision 3.
    store.transact(putIf("q", 0, "1"), start); // Revision 4.
    std::string seen;
    const auto id = store.watch("p/", 3, [&](const auto& events) { seen += textOf(events); });
    REQUIRE(id);
    const auto lease = store.grantLease(seconds(5), start).lease;
    store.transact(putIf("p/c", 0, "1", lease), start); // Revision 5.
    store.transact({ {}, {}, { "p/a", "p/missing" } }, start); // Revision 6.
    store.expireLeases(start + seconds(5)); // Revision 7.
    store.cancelWatch(*id);
    store.transact(putIf("p/d", 0, "1"), start);
    CHECK(seen == "+p/b@3 +p/c@5 -p/a@6 -p/c@7 ");
}

TEST_CASE("a watch from a revision before the kept history is rejected")
{
    KeyValueStore store;
    constexpr int changes = 100010;
    for (int i = 0; i < changes; ++i)
        store.transact({ {}, { { "a", "x", 0 } }, {} }, start);
    CHECK_FALSE(store.watch("", 2, [](const auto&) {}));
    CHECK(store.watch("", store.revision() + 1, [](const auto&) {}));
}
