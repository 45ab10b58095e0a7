/// The journal in the store: groups, fences, lost answers and snapshots.

#include "Jobs/Runtime/Journal.h"
#include "FakeStore.h"
#include "JobFleet.h"

#include <algorithm>
#include <array>
#include <doctest/doctest.h>
#include <memory>

using namespace Jobs;
using namespace std::chrono_literals;

namespace {

/// A journal with an owner's key of its own.
struct Bed {
    VirtualLoop loop;
    FakeStore store { loop };
    FakeStorePort port { store, "host" };
    bool isDeposed = false;
    unsigned records = 0;

    std::unique_ptr<Journal> open(std::uint64_t perSnapshot = 400)
    {
        store.put("owner", "host");
        JournalSettings settings;
        settings.pool = "desk";
        settings.ownerKey = "owner";
        settings.fence = static_cast<Fence>(store.state.revision());
        settings.segmentsPerSnapshot = perSnapshot;
        Journal::Hooks hooks;
        hooks.deposed = [this] { isDeposed = true; };
        hooks.snapshot = [this] {
            std::vector<JobRecord> all;
            for (unsigned n = 0; n < records; ++n)
                all.emplace_back(JobCancelled { jobId(n), {} });
            return all;
        };
        auto journal = std::make_unique<Journal>(loop, port, settings, std::move(hooks));
        journal->load([this](const std::vector<JobRecord>& read) { records = static_cast<unsigned>(read.size()); });
        loop.runFor(100ms);
        return journal;
    }

    void append(Journal& journal, bool& isStored)
    {
        journal.append({ JobCancelled { jobId(records++), {} } }, [&isStored] { isStored = true; });
    }
};

} // namespace

TEST_CASE("an effect waits for its record, and records of one moment are one write")
{
    Bed bed;
    const auto journal = bed.open();
    std::array<bool, 5> isStored {};
    const auto before = bed.store.writes;
    for (auto& it : isStored)
        bed.append(*journal, it);
    CHECK(!isStored[0]);
    bed.loop.runFor(100ms);
    for (const bool it : isStored)
        CHECK(it);
    CHECK(bed.store.writes - before == 1);
}

TEST_CASE("a commit whose answer is lost is settled once, also when it takes effect later")
{
    Bed bed;
    const auto journal = bed.open();
    bool isStored = false;
    bed.store.answersToLose = 1;
    bed.store.lateEffect = 2s;
    bed.append(*journal, isStored);
    bed.loop.runFor(6s);
    CHECK(isStored);
    CHECK(!bed.isDeposed);
    const auto again = bed.open();
    CHECK(bed.records == 1);
}

TEST_CASE("a deposed owner stores nothing, hears of it, and its effects never run")
{
    Bed bed;
    const auto old = bed.open();
    bool isStored = false;
    bed.store.put("owner", "other");
    bed.append(*old, isStored);
    bed.loop.runFor(2s);
    CHECK(!isStored);
    CHECK(bed.isDeposed);
    const auto next = bed.open();
    CHECK(bed.records == 0);
}

TEST_CASE("snapshots stand for the segments that they replace, at every moment of their writing")
{
    Bed bed;
    auto journal = bed.open(5);
    bool isStored = false;
    for (unsigned n = 0; n < 23; ++n) {
        bed.append(*journal, isStored);
        bed.loop.runFor(45ms + std::chrono::milliseconds(n % 7));
        // Another reader at any moment sees all that was stored.
        std::size_t seen = 0;
        JournalSettings settings;
        settings.pool = "desk";
        settings.ownerKey = "owner";
        Journal reader(bed.loop, bed.port, settings, {});
        const auto stored = bed.records;
        reader.load([&seen](const std::vector<JobRecord>& read) { seen = read.size(); });
        bed.loop.runFor(400ms);
        CHECK(seen >= stored - 1);
    }
    const auto again = bed.open(5);
    CHECK(bed.records == 23);
    const auto left = bed.store.state.read("/marigold/jobs/desk/", true, bed.loop.now()).values.size();
    CHECK(left <= 10);
}

TEST_CASE("more records at once than the store takes in one value are stored, in their order and before their effects")
{
    Bed bed;
    const auto journal = bed.open();
    constexpr std::size_t storeLimit = std::size_t { 1 } << 20; // Of a value, base64 included.
    const std::string payload(4000, 'x');
    std::vector<unsigned> effects;
    for (unsigned n = 0; n < 300; ++n) {
        JobAccepted accepted;
        accepted.job = jobId(n);
        accepted.spec.payload = payload;
        journal->append({ accepted }, [&effects, n] { effects.push_back(n); });
    }
    bed.loop.runFor(2s);
    CHECK(std::ranges::is_sorted(effects));
    CHECK(effects.size() == 300);
    for (const auto& it : bed.store.state.read("/marigold/jobs/desk/", true, bed.loop.now()).values)
        CHECK(it.value.size() * 4 / 3 < storeLimit);
    const auto again = bed.open();
    CHECK(bed.records == 300);
}
