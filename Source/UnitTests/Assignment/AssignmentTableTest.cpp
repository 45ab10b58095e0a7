/// Tests of the record's codec, of snapshots, of held and pinned upstreams, and of cases that the explorations don't cover.

#include "Decision/Assignment/AssignmentTable.h"
#include "Decision/Assignment/AssignmentCodec.h"
#include "Decision/Assignment/AssignmentStore.h"

#include <algorithm>
#include <cstdio>
#include <doctest/doctest.h>

using namespace Decision;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t maximumValueBytes = 1 << 20;
const Common::Instant start { 1h };

UpstreamAssignment serving(const std::string& pool, bool pinned = false)
{
    UpstreamAssignment assignment;
    assignment.pool = pool;
    assignment.since = 1;
    assignment.pinned = pinned;
    return assignment;
}

AssignmentSnapshot snapshotOf(const AssignmentRecord& record)
{
    return { record, static_cast<std::int64_t>(record.version), {} };
}

/// Lets the mover take its next step and returns the record after it.
AssignmentRecord step(MoveCoordinator& mover, const AssignmentRecord& record)
{
    REQUIRE(mover.handleSnapshot(snapshotOf(record), start));
    const auto write = mover.nextWrite(start);
    if (!write)
        return record;
    CHECK(isNextVersion(record, write->next));
    CHECK_FALSE(mover.nextWrite(start));
    mover.handleWriteEnd(write->token);
    CHECK(mover.needsRead());
    return write->next;
}

} // namespace

TEST_CASE("a record of 900 upstreams is decoded as it was encoded and fits into one value of the store")
{
    constexpr int hosts = 900;
    AssignmentRecord record;
    record.version = 1234567;
    for (int i = 0; i < hosts; ++i) {
        UpstreamAssignment& assignment = record.upstreams["backoffice-oukaimeden-" + std::to_string(i)] = serving("backoffice", i % 2);
        assignment.since = 1234500;
        if (i % 10)
            continue;
        assignment.state = i % 20 ? AssignmentState::Idle : AssignmentState::Draining;
        assignment.target = "hotels";
        assignment.pinnedNext = assignment.held = true;
    }
    const std::string text = encodeAssignments(record);
    std::printf("record of %d upstreams: %zu bytes\n", hosts, text.size());
    CHECK(text.size() < maximumValueBytes / 8);
    CHECK(decodeAssignments(text).value() == record);
}

TEST_CASE("damaged records are rejected")
{
    for (const char* text : { "", "[", "{}", R"({"version":0,"upstreams":{}})", R"({"version":"x"})", R"([1])",
             R"({"version":1,"upstreams":{"u":{"pool":"A","state":"lost","since":1}}})",
             R"({"version":1,"upstreams":{"u":{"pool":"A","state":"idle","since":1}}})",
             R"({"version":1,"upstreams":{"u":{"pool":"","state":"serving","since":1}}})",
             R"({"version":1,"upstreams":{"u":7}})", R"({"version":1,"upstreams":[]})" }) {
        INFO(text);
        CHECK_FALSE(decodeAssignments(text));
    }
}

TEST_CASE("one read of the prefix gives the record, the processes and their leases")
{
    const ProcessId old { "entry/1", 7 };
    const ProcessId self { "entry/1", 8 };
    AssignmentRecord record;
    record.version = 3;
    record.upstreams["u"] = serving("A");
    std::vector<Ports::KeyValue> pairs;
    const auto apply = [&pairs](const PlatformTransact& transact) {
        for (const Ports::Put& put : transact.transaction.puts) {
            std::erase_if(pairs, [&put](const auto& pair) { return pair.key == put.key; });
            pairs.push_back({ put.key, put.value, 42 });
        }
        for (const std::string& key : transact.transaction.deletes)
            std::erase_if(pairs, [&key](const auto& pair) { return pair.key == key; });
    };
    CHECK_FALSE(snapshotFrom("imlil", pairs));
    const PlatformTransact write = assignmentWrite("imlil", { 1, record, 41 });
    CHECK(write.transaction.compares.front().modRevision == 41);
    apply(write);
    apply(registration("imlil", old, 5, {}, 2));
    apply(registration("imlil", self, 6, snapshotFrom("imlil", pairs).value().members, 3));
    std::erase_if(pairs, [&old](const auto& pair) { return pair.key == assignmentLeaseKey("imlil", old.host, old.incarnation); });

    const AssignmentSnapshot snapshot = snapshotFrom("imlil", pairs).take();
    CHECK(snapshot.record == record);
    CHECK(snapshot.recordRevision == 42);
    REQUIRE(snapshot.members.size() == 2);
    for (const MemberProcess& member : snapshot.members) {
        CHECK(member.gone == (member.process == old));
        CHECK(member.leaseHeld == (member.process == self));
    }
    apply(memberRemoval("imlil", { old }, 4));
    CHECK(snapshotFrom("imlil", pairs).value().members.size() == 1);
}

TEST_CASE("an upstream held for maintenance stays Idle until it is released, also with a new mover")
{
    AssignmentRecord record;
    record.version = 1;
    record.upstreams["u"] = serving("A", true);
    auto mover = MoveCoordinator::create({}).take();
    mover.requestMove({ "u", "A", true, true });
    record = step(mover, record);
    CHECK(record.upstreams["u"].state == AssignmentState::Draining);
    record = step(mover, record);
    CHECK(record.upstreams["u"].state == AssignmentState::Idle);
    auto next = MoveCoordinator::create({}).take();
    CHECK(step(next, record) == record);
    next.requestRelease("u");
    record = step(next, record);
    CHECK(record.upstreams["u"].state == AssignmentState::Serving);
    CHECK(record.upstreams["u"].pool == "A");
    CHECK(record.upstreams["u"].pinned);
    CHECK(step(next, record) == record);
}

TEST_CASE("pinning needs no drain, unpinning does, and a snapshot older than one seen before is rejected")
{
    AssignmentRecord record;
    record.version = 5;
    record.upstreams["u"] = serving("A");
    auto mover = MoveCoordinator::create({}).take();
    mover.requestMove({ "u", "A", false, true });
    record = step(mover, record);
    CHECK(record.upstreams["u"].state == AssignmentState::Serving);
    CHECK(record.upstreams["u"].pinned);
    REQUIRE(mover.handleSnapshot(snapshotOf(record), start));
    mover.requestMove({ "u", "A", false, false });
    const AssignmentRecord draining = step(mover, record);
    CHECK(draining.upstreams.at("u").state == AssignmentState::Draining);
    AssignmentRecord older = record;
    older.version = 4;
    CHECK_FALSE(mover.handleSnapshot(snapshotOf(older), start));
}

TEST_CASE("a floating upstream needs a lease that outlasts the margin, a pinned one only a read after registration")
{
    auto table = AssignmentTable::create({ 1, 1s, {} }).take();
    AssignmentRecord record;
    record.version = 1;
    record.upstreams["floating"] = serving("A");
    record.upstreams["pinned"] = serving("A", true);
    table.handleRecordRead(record, table.leaseForRead());
    CHECK_FALSE(table.mayDispatch("pinned", "A", start));
    table.handleLeaseReply({ 9, start, 10s }, start + 3s);
    table.handleRecordRead(record, table.leaseForRead());
    CHECK(table.mayDispatch("floating", "A", start + 8999ms));
    CHECK_FALSE(table.mayDispatch("floating", "A", start + 9s));
    CHECK_FALSE(table.mayDispatch("floating", "B", start));
    CHECK_FALSE(table.mayDispatch("other", "A", start));
    CHECK(table.beginDispatch("pinned", "A", start + 1h));
    CHECK(table.inFlight("pinned") == 1);
}
