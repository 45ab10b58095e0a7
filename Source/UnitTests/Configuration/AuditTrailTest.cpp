/// No audit record is lost or duplicated by a store outage, lost answers or batches under the same key.

#include "Decision/Audit/AuditTrail.h"
#include "Membership/FakeStore.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace Decision;
using namespace Testing;

namespace {

/// Sequence numbers of the records in the store after an outage of ten minutes and lost answers, sorted.
std::vector<std::uint64_t> storedSequences(std::uint64_t seed, AuditGuards guards, std::size_t count)
{
    Simulation simulation(seed);
    FakeStore store(simulation);
    AuditSettings settings { "host-1", "oukaimeden", simulation.incarnation() };
    const std::shared_ptr<AuditTrail> trail = AuditTrail::create(settings, guards).take();
    std::function<void()> pump = [&] {
        for (const auto& action : trail->takeActions()) {
            store.call("host-1", action, [&](const PlatformReplied& event) {
                trail->handle(simulation.now(), event);
                pump();
            });
        }
    };
    store.faults.lostAnswerPercent = 20;
    store.faults.lateEffectPercent = 20;
    simulation.after(seconds(20), [&] { store.faults.down = true; });
    simulation.after(seconds(20) + std::chrono::minutes(10), [&] { store.faults.down = false; });
    const auto recordInterval = milliseconds(650000) / count;
    for (std::size_t i = 0; i < count; ++i) {
        AuditRecord record;
        record.who = "operator";
        record.what = "published";
        record.when = Common::WallTime(milliseconds(1700000000000 + i));
        trail->record(simulation.now(), record);
        pump();
        simulation.runFor(recordInterval);
        trail->tick(simulation.now());
        pump();
    }
    trail->flush(simulation.now());
    for (int i = 0; i < 600; ++i) {
        trail->tick(simulation.now());
        pump();
        simulation.runFor(milliseconds(100));
    }
    std::vector<std::uint64_t> sequences;
    for (const auto& [key, item] : store.list(auditPrefix("oukaimeden"))) {
        for (const auto& record : decodeAuditBatch(item.value))
            sequences.push_back(record.sequence);
    }
    std::sort(sequences.begin(), sequences.end());
    return sequences;
}

} // namespace

TEST_CASE("a store outage of ten minutes neither loses nor duplicates an audit record")
{
    constexpr std::size_t recordCount = 700;
    std::vector<std::uint64_t> expected;
    for (std::uint64_t i = 1; i <= recordCount; ++i)
        expected.push_back(i);
    AuditGuards withoutRetry;
    withoutRetry.keepUntilWritten = false;
    std::size_t lost = 0;
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
        CHECK(storedSequences(seed, {}, recordCount) == expected);
        lost += storedSequences(seed, withoutRetry, recordCount) == expected ? 0 : 1;
    }
    CHECK(lost > 0);
}

TEST_CASE("records beyond the limit of waiting bytes are counted as lost")
{
    AuditSettings settings { "host-1", "imlil", 5 };
    settings.maximumWaitingBytes = 1000;
    auto trail = AuditTrail::create(settings).take();
    for (int i = 0; i < 100; ++i)
        trail->record(Common::Instant {}, { "operator", "published", {}, "", 1, "", 0 });
    CHECK(trail->waitingBytes() <= 1000);
    CHECK(trail->waitingRecords() + trail->lostRecords() == 100);
    CHECK(trail->lostRecords() > 0);
}

TEST_CASE("a batch never overwrites another one under the same key")
{
    const auto storedBatches = [](bool createOnly) {
        Simulation simulation(1);
        FakeStore store(simulation);
        AuditGuards guards;
        guards.createOnly = createOnly;
        for (const char* who : { "left", "right" }) {
            const std::shared_ptr<AuditTrail> trail = AuditTrail::create({ "host-1", "imlil", 5 }, guards).take();
            trail->record(simulation.now(), { who, "published", {}, "", 1, "", 0 });
            trail->flush(simulation.now());
            for (int i = 0; i < 100; ++i) {
                for (const auto& action : trail->takeActions())
                    store.call("host-1", action, [&](const PlatformReplied& event) { trail->handle(simulation.now(), event); });
                simulation.runFor(milliseconds(100));
                trail->tick(simulation.now());
            }
        }
        return store.list(auditPrefix("imlil")).size();
    };
    CHECK(storedBatches(false) == 1);
    CHECK(storedBatches(true) == 2);
}
